package org.tallycart.runtime.process;

import org.tallycart.core.outcome.InvariantViolation;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.event.EventLog;

/**
 * Runs tasks so that a broken invariant stops the process, and any other failure is an
 * event.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class Guard {

	private final EventLog events;

	private Guard(EventLog events) {
		this.events = events;
	}

	/**
	 * Create a guard, which also watches threads that end by an error.
	 * @param events where failures are recorded
	 * @return the guard
	 */
	public static Guard install(EventLog events) {
		Guard guard = new Guard(events);
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
			catch (Exception | InvariantViolation ex) {
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
			this.events.emit(EventCode.INVARIANT_BROKEN, name + ": " + error.getMessage());
			Runtime.getRuntime().halt(ExitCode.INVARIANT_BROKEN);
		}
		StackTraceElement[] trace = error.getStackTrace();
		String at = (trace.length > 0) ? " at " + trace[0] : "";
		this.events.emit(EventCode.TASK_FAILED, name + ": " + error + at);
	}

}
