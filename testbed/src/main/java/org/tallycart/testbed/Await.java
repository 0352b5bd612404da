package org.tallycart.testbed;

import java.util.function.BooleanSupplier;

/**
 * Bounded waiting for a condition.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class Await {

	private static final long STEP_MS = 20;

	private Await() {
	}

	/**
	 * Wait until a condition holds.
	 * @param what what is waited for, for the message
	 * @param timeoutMs how long to wait
	 * @param condition the condition
	 */
	public static void until(String what, long timeoutMs, BooleanSupplier condition) {
		long untilNs = System.nanoTime() + timeoutMs * 1_000_000;
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > untilNs) {
				throw new IllegalStateException("not within " + timeoutMs + " ms: " + what);
			}
			sleep(STEP_MS);
		}
	}

	/**
	 * Wait.
	 * @param millis how long
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
