package org.tallycart.testbed;

import java.util.function.BooleanSupplier;

/**
 * Static helpers to wait for a condition or a duration.
 * <p>
 * Thread-safe: stateless.
 *
 * @since 0.1
 */
public final class Await {

	private static final long POLL_INTERVAL_MS = 20;

	private Await() {
	}

	/**
	 * Wait until a condition is true, which is polled.
	 * @param description the expected condition, for the error message
	 * @param timeoutMs maximum wait in milliseconds
	 * @param condition the condition
	 * @throws IllegalStateException if the condition is still false after the timeout
	 */
	public static void until(String description, long timeoutMs, BooleanSupplier condition) {
		long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000;
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > deadlineNs) {
				throw new IllegalStateException("condition not met within " + timeoutMs + " ms: " + description);
			}
			sleep(POLL_INTERVAL_MS);
		}
	}

	/**
	 * Sleep for a duration. Returns early, with the interrupt flag set, if the thread is
	 * interrupted.
	 * @param millis milliseconds; returns at once if negative
	 */
	public static void sleep(long millis) {
		try {
			Thread.sleep(Math.max(millis, 0));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
