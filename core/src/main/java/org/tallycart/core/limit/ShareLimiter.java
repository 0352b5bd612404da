package org.tallycart.core.limit;

/**
 * One VM's share of one workspace's limit.
 * <p>
 * Invariant: without an unlapsed grant the VM uses its safe share only, so that all VMs
 * together stay within the limit although none hears of the others. Not thread-safe.
 *
 * @since 0.1
 */
public final class ShareLimiter {

	private static final double BURST_SECONDS = 0.5;

	private static final double DEMAND_WEIGHT = 0.5;

	private static final double MILLIS = 1000;

	private final TokenBucket bucket;

	private double granted;

	private long grantedUntilMs;

	private double demand;

	private int arrivals;

	private long countedFromMs;

	private long askedMs = Long.MIN_VALUE;

	private ShareLimiter(long nowMs) {
		this.bucket = TokenBucket.create(0, 1, nowMs);
		this.countedFromMs = nowMs;
	}

	/**
	 * Create a holder with no grant.
	 * @param nowMs the monotonic clock now
	 * @return the holder
	 */
	public static ShareLimiter create(long nowMs) {
		return new ShareLimiter(nowMs);
	}

	/**
	 * Ask to let a request in.
	 * @param limit the workspace's limit over all VMs
	 * @param vmCount how many VMs share it
	 * @param nowMs the monotonic clock now
	 * @return whether it may enter
	 */
	public boolean tryAcquire(double limit, int vmCount, long nowMs) {
		this.arrivals++;
		double safe = limit * ShareAllocator.SAFE_PART / Math.max(vmCount, 1);
		double rate = safe + ((nowMs < this.grantedUntilMs) ? this.granted : 0);
		this.bucket.change(rate, Math.max(rate * BURST_SECONDS, 1), nowMs);
		return this.bucket.tryTake(nowMs);
	}

	/**
	 * Return when to come back after a refusal.
	 * @return milliseconds
	 */
	public long retryAfterMs() {
		return Math.max(this.bucket.waitMs(), 1);
	}

	/**
	 * Close the present count of arrivals and make what to ask the home. What the demand
	 * does not need of the present grant is given back with it. An answer to an earlier
	 * request counts for nothing from now on.
	 * @param workspace the workspace
	 * @param vm this VM
	 * @param nowMs the monotonic clock now
	 * @return what to ask
	 */
	public ShareRequest createRequest(String workspace, String vm, long nowMs) {
		long elapsed = nowMs - this.countedFromMs;
		if (elapsed > 0) {
			double latest = this.arrivals * MILLIS / elapsed;
			this.demand = Math.max(latest, this.demand + DEMAND_WEIGHT * (latest - this.demand));
			this.arrivals = 0;
			this.countedFromMs = nowMs;
		}
		this.askedMs = nowMs;
		this.granted = (nowMs < this.grantedUntilMs) ? Math.min(this.granted, this.demand * ShareAllocator.HEADROOM)
				: 0;
		return new ShareRequest(workspace, vm, this.demand, this.granted);
	}

	/**
	 * Record a grant.
	 * @param rate the rate
	 * @param answersMs when this VM asked for it, by its monotonic clock
	 */
	public void onGrant(double rate, long answersMs) {
		if (answersMs == this.askedMs) {
			this.granted = rate;
			this.grantedUntilMs = answersMs + ShareAllocator.GRANT_MS;
		}
	}

}
