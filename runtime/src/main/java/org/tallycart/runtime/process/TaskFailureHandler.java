package org.tallycart.runtime.process;

import java.util.function.BiConsumer;
import java.util.function.IntConsumer;

import org.tallycart.core.outcome.InvariantViolation;
import org.tallycart.runtime.event.EventCode;

/**
 * Handles uncaught failures of tasks: halts the process on an {@link InvariantViolation},
 * and reports any other failure as an event.
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
	 * Create a handler and install it as the default handler of uncaught exceptions.
	 * @param events receives the event code and a detail; called from any thread
	 * @return the handler
	 */
	public static TaskFailureHandler install(BiConsumer<EventCode, String> events) {
		TaskFailureHandler handler = new TaskFailureHandler(events, Runtime.getRuntime()::halt);
		Thread.setDefaultUncaughtExceptionHandler((thread, error) -> handler.onError(thread.getName(), error));
		return handler;
	}

	/**
	 * Wrap a task so that its failures are passed to {@link #onError}.
	 * @param name the name of the task in events
	 * @param task the task
	 * @return a task that never throws
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
	 * Report an error, and halt the process if the error is an
	 * {@link InvariantViolation}.
	 * @param name the name of the task or thread that failed
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
