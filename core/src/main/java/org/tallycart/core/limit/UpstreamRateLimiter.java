package org.tallycart.core.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Grants requests to upstreams that have stated a limit, at the VM that leads this role
 * for all VMs. Each grant is for one request. VMs have no fixed shares, so the whole
 * limit is available at any VM that receives requests.
 * <p>
 * Invariant: over any time t, at most {@value #BURST} requests plus the rate times t are
 * granted for an upstream. A new leader starts with empty buckets, since it does not know
 * the grants of its predecessor. Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class UpstreamRateLimiter {

	/**
	 * Maximum burst of requests; below the platform's tolerance. The platform tolerates
	 * five requests beyond one and a half times the rate.
	 */
	static final int BURST = 2;

	/** Maximum burst while other VMs may also grant a share of the limit. */
	private static final int SHARED_BURST = 1;

	/**
	 * Minimum rate, in requests per second. Only replies show that an upstream has raised
	 * a limit of zero, so some requests must be sent.
	 */
	private static final double MIN_PER_SECOND = 0.25;

	/** Maximum delay of a new attempt after a denial, in milliseconds. */
	private static final long MAX_WAIT_MS = 5_000;

	/** Time after which an unused bucket is dropped, in milliseconds. */
	private static final long IDLE_EXPIRY_MS = 60_000;

	private final Map<String, UpstreamBucket> buckets = new HashMap<>();

	/**
	 * Acquire a permit for one request.
	 * @param incarnation the upstream's incarnation
	 * @param perSecond its limit in requests per second
	 * @param share the share of the limit that this VM may grant, from 0 to 1
	 * @param maxWaitMs the maximum delay of the request, in milliseconds
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the decision
	 */
	public Permit acquire(String incarnation, double perSecond, double share, long maxWaitMs, long nowMs) {
		TokenBucket bucket = bucket(incarnation, perSecond, share, nowMs);
		long waitMs = bucket.waitMs();
		return bucket.tryReserve(maxWaitMs, nowMs) ? Permit.granted(waitMs)
				: Permit.denied(Math.min(waitMs, MAX_WAIT_MS));
	}

	/**
	 * Return whether {@link #acquire} would grant a request without delay.
	 * @param incarnation the upstream's incarnation
	 * @param perSecond its limit in requests per second
	 * @param share the share of the limit that this VM may grant, from 0 to 1
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return true if it would be granted
	 */
	public boolean isAvailable(String incarnation, double perSecond, double share, long nowMs) {
		return bucket(incarnation, perSecond, share, nowMs).isAvailable(nowMs);
	}

	private TokenBucket bucket(String incarnation, double perSecond, double share, long nowMs) {
		UpstreamBucket upstream = this.buckets.computeIfAbsent(incarnation, (key) -> new UpstreamBucket(nowMs));
		upstream.lastUsedMs = nowMs;
		int burst = (share < 1) ? SHARED_BURST : BURST;
		upstream.bucket.setRate(Math.max(perSecond, MIN_PER_SECOND) * share, burst, nowMs);
		return upstream.bucket;
	}

	/**
	 * Drop unused buckets.
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void expire(long nowMs) {
		this.buckets.values().removeIf((upstream) -> nowMs - upstream.lastUsedMs > IDLE_EXPIRY_MS);
	}

	/** The token bucket of one upstream. */
	private static final class UpstreamBucket {

		private final TokenBucket bucket;

		private long lastUsedMs;

		UpstreamBucket(long nowMs) {
			this.bucket = TokenBucket.createEmpty(nowMs);
		}

	}

}
