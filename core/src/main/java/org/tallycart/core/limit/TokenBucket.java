package org.tallycart.core.limit;

/**
 * A token bucket with an adjustable rate.
 * <p>
 * Invariant: over any time t it grants at most {@code burst} plus the integral of the
 * rate over t. Not thread-safe.
 *
 * @since 0.1
 */
public final class TokenBucket {

	private static final double MILLIS_PER_SECOND = 1000;

	private double ratePerSecond;

	private double burst;

	private double tokens;

	private long lastMs;

	private TokenBucket(double ratePerSecond, double burst, double tokens, long nowMs) {
		this.ratePerSecond = ratePerSecond;
		this.burst = burst;
		this.tokens = tokens;
		this.lastMs = nowMs;
	}

	/**
	 * Create a full bucket.
	 * @param ratePerSecond the rate, in tokens per second
	 * @param burst the capacity of the bucket, in tokens
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the bucket
	 */
	public static TokenBucket create(double ratePerSecond, double burst, long nowMs) {
		return new TokenBucket(ratePerSecond, burst, burst, nowMs);
	}

	/**
	 * Create an empty bucket, which receives no tokens until its rate is set.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the bucket
	 */
	public static TokenBucket createEmpty(long nowMs) {
		return new TokenBucket(0, 0, 0, nowMs);
	}

	/**
	 * Set the rate from now on. Tokens above the new capacity are dropped.
	 * @param newRate the rate, in tokens per second
	 * @param newBurst the capacity of the bucket, in tokens
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void setRate(double newRate, double newBurst, long nowMs) {
		refill(nowMs);
		this.ratePerSecond = newRate;
		this.burst = newBurst;
		this.tokens = Math.min(this.tokens, newBurst);
	}

	/**
	 * Remove a token if one is available.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return true if a token was available
	 */
	public boolean tryTake(long nowMs) {
		refill(nowMs);
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

	/**
	 * Reserve the next token in advance.
	 * @param maxWaitMs the maximum time until the token is available, in milliseconds
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return true if it was reserved; it is available after the time that
	 * {@link #waitMs} returned before this call
	 */
	public boolean tryReserve(long maxWaitMs, long nowMs) {
		refill(nowMs);
		if (waitMs() > maxWaitMs) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

	/**
	 * Return whether a token is available.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return true if {@link #tryTake} would succeed
	 */
	public boolean isAvailable(long nowMs) {
		refill(nowMs);
		return this.tokens >= 1;
	}

	/**
	 * Return the time until the next token is available.
	 * @return the time in milliseconds, from the last call that passed a time; 1 s for an
	 * empty bucket with no rate
	 */
	public long waitMs() {
		if (this.tokens >= 1 || this.ratePerSecond <= 0) {
			return (this.tokens >= 1) ? 0 : (long) MILLIS_PER_SECOND;
		}
		return (long) Math.ceil((1 - this.tokens) * MILLIS_PER_SECOND / this.ratePerSecond);
	}

	private void refill(long nowMs) {
		long elapsedMs = Math.max(nowMs - this.lastMs, 0);
		this.tokens = Math.min(this.burst, this.tokens + elapsedMs * this.ratePerSecond / MILLIS_PER_SECOND);
		this.lastMs = Math.max(this.lastMs, nowMs);
	}

}
