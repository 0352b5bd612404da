package org.tallycart.core.routing;

/**
 * Token bucket that limits extra attempts to a share of first attempts.
 * <p>
 * Invariant: the granted extra attempts never exceed {@code share} of the first attempts
 * plus the initial allowance. Thread-safe.
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
	 * @param share extra attempts granted for each first attempt, such as 0.1
	 * @param initial extra attempts available at the start
	 * @param cap maximum number of extra attempts that accumulate
	 * @return the budget
	 */
	public static RetryBudget create(double share, double initial, double cap) {
		return new RetryBudget(share, Math.min(initial, cap), cap);
	}

	/**
	 * Record a first attempt, which adds {@code share} to the budget.
	 */
	public synchronized void onFirstAttempt() {
		this.tokens = Math.min(this.tokens + this.share, this.cap);
	}

	/**
	 * Try to acquire an extra attempt.
	 * @return true if the budget allows it
	 */
	public synchronized boolean tryAcquire() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
