package org.tallycart.core.routing;

/**
 * Limits extra attempts to a share of first attempts.
 * <p>
 * Invariant: extra attempts granted never exceed {@code share} of the first attempts plus
 * the initial allowance. Thread-safe.
 *
 * @since 0.1
 */
public final class RetryBudget {

	private final double share;

	private final double cap;

	private double tokens;

	private RetryBudget(double share, double initial, double cap) {
		this.share = share;
		this.cap = cap;
		this.tokens = initial;
	}

	/**
	 * Create a budget.
	 * @param share extra attempts for each first attempt, such as 0.1
	 * @param initial extra attempts allowed at the start
	 * @param cap extra attempts that can be saved up, at most
	 * @return the budget
	 */
	public static RetryBudget create(double share, double initial, double cap) {
		return new RetryBudget(share, Math.min(initial, cap), cap);
	}

	/**
	 * Record a first attempt.
	 */
	public synchronized void onFirstAttempt() {
		this.tokens = Math.min(this.tokens + this.share, this.cap);
	}

	/**
	 * Ask for an extra attempt.
	 * @return whether it is granted
	 */
	public synchronized boolean tryAcquire() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
