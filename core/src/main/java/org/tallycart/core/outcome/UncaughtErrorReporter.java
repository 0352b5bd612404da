package org.tallycart.core.outcome;

import java.io.IOException;

/**
 * Passes errors that a library would otherwise swallow to the uncaught exception handler
 * of the thread, which handles invariant violations differently from other failures.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class UncaughtErrorReporter {

	private UncaughtErrorReporter() {
	}

	/**
	 * Report an error, unless it is an I/O error, which the owner of the connection is
	 * notified of separately.
	 * @param error the error
	 */
	public static void report(Throwable error) {
		if (!(error instanceof IOException)) {
			Thread thread = Thread.currentThread();
			thread.getUncaughtExceptionHandler().uncaughtException(thread, error);
		}
	}

}
