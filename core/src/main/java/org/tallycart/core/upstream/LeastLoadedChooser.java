package org.tallycart.core.upstream;

import java.util.Collection;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.tallycart.core.routing.RandomSource;

/**
 * Chooses the upstream of a plain service with the lowest slot utilization, by this VM's
 * requests in flight and the upstream's load reports, with a small preference for the
 * VM's own failure domain. Where upstreams state how long work takes there, the expected
 * time of the request decides.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class LeastLoadedChooser {

	/** Penalty for another failure domain, as a fraction of an upstream's slots. */
	private static final double OTHER_DOMAIN_PENALTY = 0.1;

	/** Penalty at an error rate of 1, as a fraction of an upstream's slots. */
	private static final double ERROR_RATE_PENALTY = 4;

	/**
	 * Difference of expected times, in times that a request takes at an idle upstream of
	 * usual speed, below which an upstream is as good as another: less than what one
	 * request more of another VM adds at an upstream of few slots.
	 */
	private static final double TIE = 0.1;

	private LeastLoadedChooser() {
	}

	/**
	 * Choose an upstream. Without stated slowdowns it is the one with the lowest slot
	 * utilization. Otherwise it is the one with the shortest expected time, and one of
	 * those with nearly that time at random, since other VMs see the same reports.
	 * @param candidates the upstreams that may receive the request
	 * @param failureDomain the VM's own failure domain
	 * @param nowMs the current monotonic time, in milliseconds
	 * @param random draws one of several upstreams that are as good as each other
	 * @return the choice; empty if there is no candidate
	 */
	public static Optional<UpstreamChoice> choose(Collection<UpstreamState> candidates, String failureDomain,
			long nowMs, RandomSource random) {
		UpstreamState best = UnevenUpstreams.among(candidates, nowMs)
				? shortestTime(candidates, failureDomain, nowMs, random)
				: leastUtilized(candidates, failureDomain, nowMs);
		return Optional.ofNullable(best).map((state) -> new UpstreamChoice(state, Optional.empty()));
	}

	private static @Nullable UpstreamState leastUtilized(Collection<UpstreamState> candidates, String failureDomain,
			long nowMs) {
		UpstreamState best = null;
		double bestScore = 0;
		for (UpstreamState state : candidates) {
			double score = utilization(state, nowMs) + penalty(state, failureDomain);
			if (best == null || score < bestScore
					|| score == bestScore && state.entry().id().compareTo(best.entry().id()) < 0) {
				best = state;
				bestScore = score;
			}
		}
		return best;
	}

	private static @Nullable UpstreamState shortestTime(Collection<UpstreamState> candidates, String failureDomain,
			long nowMs, RandomSource random) {
		double unknownLoad = meanReportedLoad(candidates, nowMs);
		double shortest = Double.MAX_VALUE;
		for (UpstreamState state : candidates) {
			shortest = Math.min(shortest, expectedTime(state, unknownLoad, failureDomain, nowMs));
		}
		UpstreamState drawn = null;
		int count = 0;
		for (UpstreamState state : candidates) {
			if (expectedTime(state, unknownLoad, failureDomain, nowMs) <= shortest + TIE) {
				count++;
				drawn = (random.nextInt(count) == 0) ? state : drawn;
			}
		}
		return drawn;
	}

	// Upstreams that were avoided have sent no report of late. Without this they would
	// seem idle, to all VMs at about the same time.
	private static double meanReportedLoad(Collection<UpstreamState> candidates, long nowMs) {
		double sum = 0;
		int count = 0;
		for (UpstreamState state : candidates) {
			if (state.hasReport(nowMs)) {
				sum += state.expectedLoad(nowMs) / slots(state);
				count++;
			}
		}
		return (count > 0) ? sum / count : 0;
	}

	// In times that a request takes at an idle upstream of usual speed.
	private static double expectedTime(UpstreamState state, double unknownLoad, String failureDomain, long nowMs) {
		double load = state.expectedLoad(nowMs) / slots(state);
		if (!state.hasReport(nowMs)) {
			load = Math.max(load, unknownLoad);
		}
		return state.slowdown(nowMs) * (1 + load) + penalty(state, failureDomain);
	}

	private static double utilization(UpstreamState state, long nowMs) {
		int reported = state.report(nowMs).map((report) -> report.running() + report.waiting()).orElse(0);
		return Math.max(state.inFlight(), reported) / slots(state);
	}

	private static double slots(UpstreamState state) {
		return Math.max(state.entry().slots(), 1);
	}

	private static double penalty(UpstreamState state, String failureDomain) {
		double domainPenalty = state.entry().failureDomain().equals(failureDomain) ? 0 : OTHER_DOMAIN_PENALTY;
		return domainPenalty + state.errorRate() * ERROR_RATE_PENALTY;
	}

}
