package org.tallycart.core.upstream;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses an upstream of a plain service: the one with the least share of its slots taken
 * by this VM's requests and by what it reported, with a small preference for the VM's own
 * failure domain.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class LeastLoadedChooser {

	/** What another failure domain counts, in shares of an upstream's slots. */
	private static final double OTHER_DOMAIN = 0.1;

	/** What a failing share of 1 counts, in shares of an upstream's slots. */
	private static final double ERROR_SHARE = 4;

	private LeastLoadedChooser() {
	}

	/**
	 * Choose an upstream.
	 * @param candidates upstreams that may get the request
	 * @param failureDomain the VM's own failure domain
	 * @param nowMs the steady clock
	 * @return the choice, or empty if there is no candidate
	 */
	public static Optional<UpstreamChoice> choose(Collection<UpstreamState> candidates, String failureDomain,
			long nowMs) {
		return candidates.stream()
			.min(Comparator.<UpstreamState>comparingDouble((state) -> score(state, failureDomain, nowMs))
				.thenComparing((state) -> state.entry().id()))
			.map((state) -> new UpstreamChoice(state, Optional.empty()));
	}

	private static double score(UpstreamState state, String failureDomain, long nowMs) {
		double slots = Math.max(state.entry().slots(), 1);
		int reported = state.report(nowMs).map((report) -> report.running() + report.waiting()).orElse(0);
		double taken = Math.max(state.inFlight(), reported) / slots;
		double domain = state.entry().failureDomain().equals(failureDomain) ? 0 : OTHER_DOMAIN;
		return taken + domain + state.errorRate() * ERROR_SHARE;
	}

}
