package org.tallycart.core.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Grants requests to upstreams that have named a limit, at the VM that does so for all.
 * Each grant is one request; no VM has a part of its own, so what an upstream takes can
 * be used by whichever VM its callers come to.
 * <p>
 * Invariant: over any time t an upstream is granted at most {@value #BURST} requests and
 * its rate times t. A VM that begins to grant begins with nothing in store, since it does
 * not know what the one before has granted. Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class UpstreamRateLimiter {

	/**
	 * Requests that are stored while nobody asks. The platform tolerates five beside one
	 * and a half times the rate.
	 */
	static final int BURST = 2;

	/** The same at a VM that grants only a part, as others may. */
	private static final int PART_BURST = 1;

	/**
	 * Least rate, in requests a second: one in four seconds, which is always tolerated.
	 * Without it nobody would hear that an upstream no longer names a limit of zero.
	 */
	private static final double LEAST_PER_SECOND = 0.25;

	/** Nobody is told to ask again later than after this, in milliseconds. */
	private static final long LONGEST_WAIT_MS = 5_000;

	/** What was not asked for this long is dropped, in milliseconds. */
	private static final long FORGET_MS = 60_000;

	private final Map<String, UpstreamBucket> sources = new HashMap<>();

	/**
	 * Ask for one request.
	 * @param incarnation the upstream
	 * @param perSecond its limit
	 * @param share the part of the limit that this VM may grant, from 0 to 1
	 * @param patienceMs how long the request may wait for its turn
	 * @param nowMs the steady clock
	 * @return the answer
	 */
	public Permit acquire(String incarnation, double perSecond, double share, long patienceMs, long nowMs) {
		TokenBucket bucket = bucket(incarnation, perSecond, share, nowMs);
		long waitMs = bucket.waitMs();
		return bucket.tryReserve(patienceMs, nowMs) ? Permit.granted(waitMs)
				: Permit.denied(Math.min(waitMs, LONGEST_WAIT_MS));
	}

	/**
	 * Return whether {@link #acquire} would grant a request that does not wait.
	 * @param incarnation the upstream
	 * @param perSecond its limit
	 * @param share the part of the limit that this VM may grant, from 0 to 1
	 * @param nowMs the steady clock
	 * @return true if it would
	 */
	public boolean isAvailable(String incarnation, double perSecond, double share, long nowMs) {
		return bucket(incarnation, perSecond, share, nowMs).available(nowMs);
	}

	private TokenBucket bucket(String incarnation, double perSecond, double share, long nowMs) {
		UpstreamBucket source = this.sources.computeIfAbsent(incarnation, (key) -> new UpstreamBucket(nowMs));
		source.askedMs = nowMs;
		int burst = (share < 1) ? PART_BURST : BURST;
		source.bucket.change(Math.max(perSecond, LEAST_PER_SECOND) * share, burst, nowMs);
		return source.bucket;
	}

	/**
	 * Drop what is of no use any more.
	 * @param nowMs the steady clock
	 */
	public void expire(long nowMs) {
		this.sources.values().removeIf((source) -> nowMs - source.askedMs > FORGET_MS);
	}

	/** What may be sent to one upstream. */
	private static final class UpstreamBucket {

		private final TokenBucket bucket;

		private long askedMs;

		UpstreamBucket(long nowMs) {
			this.bucket = TokenBucket.createEmpty(nowMs);
		}

	}

}
