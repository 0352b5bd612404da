package org.tallycart.core.limit;

/**
 * Limits the requests of one workspace at one VM, by the VM's share of the workspace's
 * limit.
 * <p>
 * Invariant: without a valid grant the VM uses only its part of the reserved fraction, so
 * all VMs together stay within the limit without communication. Not thread-safe.
 *
 * @since 0.1
 */
public final class ShareLimiter {

	/** Maximum burst, in seconds of the current rate. */
	private static final double BURST_SECONDS = 0.5;

	/** Weight of the latest window when the demand falls. */
	private static final double DEMAND_SMOOTHING = 0.5;

	private static final double MILLIS_PER_SECOND = 1000;

	private final TokenBucket bucket;

	private double grantedPerSecond;

	private long grantExpiresMs;

	private double demandPerSecond;

	private int arrivals;

	private long windowStartMs;

	private long lastRequestMs = Long.MIN_VALUE;

	private ShareLimiter(long nowMs) {
		this.bucket = TokenBucket.create(0, 1, nowMs);
		this.windowStartMs = nowMs;
	}

	/**
	 * Create a limiter without a grant.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the limiter
	 */
	public static ShareLimiter create(long nowMs) {
		return new ShareLimiter(nowMs);
	}

	/**
	 * Admit a request, if this VM's share allows it.
	 * @param limit the workspace's limit over all VMs, in requests per second
	 * @param vmCount the number of VMs that share the limit
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return true if the request is admitted
	 */
	public boolean tryAcquire(double limit, int vmCount, long nowMs) {
		this.arrivals++;
		double reserved = limit * ShareAllocator.RESERVED_FRACTION / Math.max(vmCount, 1);
		double rate = reserved + ((nowMs < this.grantExpiresMs) ? this.grantedPerSecond : 0);
		this.bucket.setRate(rate, Math.max(rate * BURST_SECONDS, 1), nowMs);
		return this.bucket.tryTake(nowMs);
	}

	/**
	 * Return the delay after which a rejected request should be retried.
	 * @return the delay in milliseconds, at least 1
	 */
	public long retryAfterMs() {
		return Math.max(this.bucket.waitMs(), 1);
	}

	/**
	 * Create the next request to the allocator, from the demand since the last one. The
	 * part of the current grant that exceeds the demand is released. Replies to earlier
	 * requests are ignored from now on.
	 * @param workspace the name of the workspace
	 * @param vm the name of this VM
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the request
	 */
	public ShareRequest createRequest(String workspace, String vm, long nowMs) {
		long elapsedMs = nowMs - this.windowStartMs;
		if (elapsedMs > 0) {
			double latest = this.arrivals * MILLIS_PER_SECOND / elapsedMs;
			this.demandPerSecond = Math.max(latest,
					this.demandPerSecond + DEMAND_SMOOTHING * (latest - this.demandPerSecond));
			this.arrivals = 0;
			this.windowStartMs = nowMs;
		}
		this.lastRequestMs = nowMs;
		this.grantedPerSecond = (nowMs < this.grantExpiresMs)
				? Math.min(this.grantedPerSecond, this.demandPerSecond * ShareAllocator.HEADROOM_FACTOR) : 0;
		return new ShareRequest(workspace, vm, this.demandPerSecond, this.grantedPerSecond);
	}

	/**
	 * Record a grant, unless a later request was created.
	 * @param rate the granted rate, in requests per second
	 * @param requestedAtMs the monotonic time of the request, in milliseconds
	 */
	public void onGrant(double rate, long requestedAtMs) {
		if (requestedAtMs == this.lastRequestMs) {
			this.grantedPerSecond = rate;
			this.grantExpiresMs = requestedAtMs + ShareAllocator.GRANT_DURATION_MS;
		}
	}

}
