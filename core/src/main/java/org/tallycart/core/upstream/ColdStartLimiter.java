package org.tallycart.core.upstream;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

import org.tallycart.core.limit.TokenBucket;
import org.tallycart.core.membership.RendezvousHash;

/**
 * Limits the request rate that all VMs together send to an upstream in its cold start,
 * since an upstream crashes above that rate.
 * <p>
 * Cold upstreams receive no requests while enough others are warm. Otherwise a few VMs,
 * selected for each upstream by rendezvous hash, may send to it, each at its share of the
 * rate. The limit therefore holds without coordination, also during a network partition
 * and while VMs have incomplete lists of each other.
 * <p>
 * Invariant: a VM that is not in its own list of VMs sends nothing to a cold upstream.
 * Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class ColdStartLimiter {

	/**
	 * Fraction of a service's upstreams above which only the warm ones are used. Engines
	 * run at about a quarter of their capacity, so a third of them bears the whole load
	 * during a cold start.
	 */
	private static final double MIN_WARM_FRACTION = 1.0 / 3;

	/**
	 * Number of VMs that may send to one cold upstream. More than one tolerates failed
	 * VMs; each adds a burst of one request.
	 */
	private static final int SENDERS_PER_UPSTREAM = 3;

	/**
	 * Fraction of the rate that is used. Two groups of VMs with different lists may
	 * select twice as many senders; the total then still stays below 1.5 times the rate
	 * plus five requests.
	 */
	private static final double USED_RATE_FRACTION = 0.6;

	/** Time for which a ranking of VMs is reused, in milliseconds. */
	private static final long RANKING_TTL_MS = 1_000;

	/** Time after which the state of an unused upstream is dropped, in milliseconds. */
	private static final long IDLE_EXPIRY_MS = 30_000;

	private final String vm;

	private final Supplier<? extends Collection<String>> vms;

	private final ToDoubleFunction<String> ratePerSecond;

	private final Map<String, UpstreamShare> shares = new HashMap<>();

	/**
	 * Create a limiter.
	 * @param vm the name of this VM
	 * @param vms supplies the names of all known VMs, including this one
	 * @param ratePerSecond returns the rate that a cold upstream of a service tolerates,
	 * in requests per second; 0 for no limit
	 */
	public ColdStartLimiter(String vm, Supplier<? extends Collection<String>> vms,
			ToDoubleFunction<String> ratePerSecond) {
		this.vm = vm;
		this.vms = vms;
		this.ratePerSecond = ratePerSecond;
	}

	/**
	 * Return the upstreams to which a request may be sent now.
	 * @param candidates the upstreams of one service
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the warm upstreams, and the cold ones if they are needed and this VM may
	 * send to them; must not be modified
	 */
	public List<UpstreamState> admit(List<UpstreamState> candidates, long nowMs) {
		List<UpstreamState> warm = CandidateList.without(candidates, (state) -> isLimited(state, nowMs));
		if (warm.size() == candidates.size() || warm.size() > candidates.size() * MIN_WARM_FRACTION) {
			return warm;
		}
		return CandidateList.without(candidates, (state) -> isLimited(state, nowMs) && !maySend(state, nowMs));
	}

	private boolean isLimited(UpstreamState state, long nowMs) {
		return state.isCold(nowMs) && this.ratePerSecond.applyAsDouble(state.entry().service()) > 0;
	}

	private boolean maySend(UpstreamState state, long nowMs) {
		UpstreamShare share = share(state, nowMs);
		return share.isSender && share.bucket.isAvailable(nowMs);
	}

	private UpstreamShare share(UpstreamState state, long nowMs) {
		String incarnation = state.entry().incarnation();
		double rate = this.ratePerSecond.applyAsDouble(state.entry().service()) * USED_RATE_FRACTION
				/ SENDERS_PER_UPSTREAM;
		UpstreamShare share = this.shares.computeIfAbsent(incarnation, (key) -> new UpstreamShare(rate, nowMs));
		if (nowMs - share.rankedAtMs > RANKING_TTL_MS) {
			share.rankedAtMs = nowMs;
			share.isSender = RendezvousHash.top(incarnation, this.vms.get(), SENDERS_PER_UPSTREAM).contains(this.vm);
		}
		return share;
	}

	/**
	 * Record a sent request. Must be called for each request.
	 * @param state the upstream that receives it
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onSend(UpstreamState state, long nowMs) {
		if (isLimited(state, nowMs)) {
			share(state, nowMs).bucket.tryTake(nowMs);
		}
	}

	/**
	 * Drop the state of upstreams that are no longer used.
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void expire(long nowMs) {
		this.shares.values().removeIf((share) -> nowMs - share.rankedAtMs > IDLE_EXPIRY_MS);
	}

	/** This VM's share of the rate of one cold upstream. */
	private static final class UpstreamShare {

		private final TokenBucket bucket;

		// In the past, so that the first use computes the ranking.
		private long rankedAtMs = Long.MIN_VALUE / 2;

		private boolean isSender;

		UpstreamShare(double ratePerSecond, long nowMs) {
			this.bucket = TokenBucket.create(ratePerSecond, 1, nowMs);
		}

	}

}
