package org.tallycart.core.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

import org.tallycart.core.limit.TokenBucket;
import org.tallycart.core.membership.RendezvousHash;

/**
 * Keeps what all VMs together send to a cold upstream under the rate that it bears;
 * beyond that it would crash.
 * <p>
 * Cold upstreams get nothing while enough others are warm. Where they are needed, a few
 * VMs that all VMs rank alike for an upstream may send to it, each at its part of the
 * rate, so the limit holds without a message: also while VMs are cut off from each other,
 * and with some that know only a part of the others. A VM that may send to none of them
 * says at once when they will be warm.
 * <p>
 * Invariant: a VM that does not know of itself sends nothing to a cold upstream. Not
 * thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class ColdStartLimiter {

	/**
	 * Share of a service's upstreams that have to be warm for the cold ones to be left
	 * alone. Engines are at a quarter of what they can do, so a third of them bears all
	 * the load for the few seconds that the others stay cold.
	 */
	private static final double ENOUGH_WARM = 1.0 / 3;

	/**
	 * VMs that may send to one cold upstream. Each begins with one request in store, so
	 * few of them; one alone may be down.
	 */
	private static final int SENDERS = 3;

	/**
	 * Part of the rate that is used. Two groups of VMs that know of different others name
	 * twice as many senders: even those send less than one and a half times the rate and
	 * five, which {@code ColdLimitTests} counts.
	 */
	private static final double USED_SHARE = 0.6;

	/** How long a rank of VMs is used before it is made again, in milliseconds. */
	private static final long RANK_MS = 1_000;

	/** What is known of an upstream that was not asked for this long is dropped. */
	private static final long FORGET_MS = 30_000;

	private final String vm;

	private final Supplier<? extends Collection<String>> vms;

	private final ToDoubleFunction<String> ratePerSecond;

	private final Map<String, UpstreamShare> parts = new HashMap<>();

	/**
	 * Create a limit.
	 * @param vm this VM
	 * @param vms gives the VMs that are known, this one among them
	 * @param ratePerSecond gives what a cold upstream of a service bears, in requests a
	 * second; 0 where there is no limit
	 */
	public ColdStartLimiter(String vm, Supplier<? extends Collection<String>> vms,
			ToDoubleFunction<String> ratePerSecond) {
		this.vm = vm;
		this.vms = vms;
		this.ratePerSecond = ratePerSecond;
	}

	/**
	 * Return which upstreams a request may be sent to now.
	 * @param candidates upstreams of one service
	 * @param nowMs the steady clock
	 * @return those that are warm, and cold ones where they are needed and this VM may
	 * send to them
	 */
	public List<UpstreamState> admit(List<UpstreamState> candidates, long nowMs) {
		List<UpstreamState> warm = new ArrayList<>(candidates);
		warm.removeIf((state) -> limited(state, nowMs));
		if (warm.size() == candidates.size() || warm.size() > candidates.size() * ENOUGH_WARM) {
			return warm;
		}
		List<UpstreamState> admitted = new ArrayList<>(candidates);
		admitted.removeIf((state) -> limited(state, nowMs) && !mayTake(state, nowMs));
		return admitted;
	}

	private boolean limited(UpstreamState state, long nowMs) {
		return state.cold(nowMs) && this.ratePerSecond.applyAsDouble(state.entry().service()) > 0;
	}

	private boolean mayTake(UpstreamState state, long nowMs) {
		UpstreamShare part = part(state, nowMs);
		return part.sends && part.bucket.available(nowMs);
	}

	private UpstreamShare part(UpstreamState state, long nowMs) {
		String incarnation = state.entry().incarnation();
		double rate = this.ratePerSecond.applyAsDouble(state.entry().service()) * USED_SHARE / SENDERS;
		UpstreamShare part = this.parts.computeIfAbsent(incarnation, (key) -> new UpstreamShare(rate, nowMs));
		if (nowMs - part.rankedMs > RANK_MS) {
			part.rankedMs = nowMs;
			part.sends = RendezvousHash.top(incarnation, this.vms.get(), SENDERS).contains(this.vm);
		}
		return part;
	}

	/**
	 * Take note that a request is sent. To be called for each.
	 * @param state the upstream
	 * @param nowMs the steady clock
	 */
	public void onSend(UpstreamState state, long nowMs) {
		if (limited(state, nowMs)) {
			part(state, nowMs).bucket.tryTake(nowMs);
		}
	}

	/**
	 * Drop what is no longer needed.
	 * @param nowMs the steady clock
	 */
	public void expire(long nowMs) {
		this.parts.values().removeIf((part) -> nowMs - part.rankedMs > FORGET_MS);
	}

	/** This VM's part in what one cold upstream gets. */
	private static final class UpstreamShare {

		private final TokenBucket bucket;

		// Ranked when it is first used.
		private long rankedMs = Long.MIN_VALUE / 2;

		private boolean sends;

		UpstreamShare(double ratePerSecond, long nowMs) {
			this.bucket = TokenBucket.create(ratePerSecond, 1, nowMs);
		}

	}

}
