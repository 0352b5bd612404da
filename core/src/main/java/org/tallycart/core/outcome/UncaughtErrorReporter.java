package org.tallycart.core.outcome;

import java.io.IOException;

/**
 * Reports errors that a library would otherwise keep to itself to the handler of the
 * thread, which tells broken invariants from other failures.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class UncaughtErrorReporter {

	private UncaughtErrorReporter() {
	}

	/**
	 * Report an error, unless it is an ordinary failure of a connection, which the
	 * connection's owner hears of anyway.
	 * @param error the error
	 */
	public static void report(Throwable error) {
		if (!(error instanceof IOException)) {
			Thread thread = Thread.currentThread();
			thread.getUncaughtExceptionHandler().uncaughtException(thread, error);
		}
	}

}
