package org.tallycart.runtime.process;

import java.util.function.BiConsumer;
import java.util.function.IntConsumer;

import org.tallycart.core.outcome.InvariantViolation;
import org.tallycart.runtime.event.EventCode;

/**
 * Runs tasks so that a broken invariant stops the process, and any other failure is an
 * event.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class TaskFailureHandler {

	private final BiConsumer<EventCode, String> events;

	private final IntConsumer halt;

	TaskFailureHandler(BiConsumer<EventCode, String> events, IntConsumer halt) {
		this.events = events;
		this.halt = halt;
	}

	/**
	 * Create a guard, which also watches threads that end by an error.
	 * @param events takes what failed, and the event that says so; from any thread
	 * @return the guard
	 */
	public static TaskFailureHandler install(BiConsumer<EventCode, String> events) {
		TaskFailureHandler guard = new TaskFailureHandler(events, Runtime.getRuntime()::halt);
		Thread.setDefaultUncaughtExceptionHandler((thread, error) -> guard.onError(thread.getName(), error));
		return guard;
	}

	/**
	 * Wrap a task.
	 * @param name the task's name in events
	 * @param task the task
	 * @return a task that does not throw
	 */
	public Runnable wrap(String name, Runnable task) {
		return () -> {
			try {
				task.run();
			}
			catch (Exception | Error ex) {
				onError(name, ex);
			}
		};
	}

	/**
	 * Take note of an error: stop the process if an invariant is broken.
	 * @param name where it happened
	 * @param error the error
	 */
	public void onError(String name, Throwable error) {
		if (error instanceof InvariantViolation) {
			this.events.accept(EventCode.INVARIANT_BROKEN, name + ": " + error.getMessage());
			this.halt.accept(ExitCode.INVARIANT_BROKEN);
			return;
		}
		StackTraceElement[] trace = error.getStackTrace();
		String at = (trace.length > 0) ? " at " + trace[0] : "";
		this.events.accept(EventCode.TASK_FAILED, name + ": " + error + at);
	}

}
