package org.tallycart.core.upstream;

import java.util.Collection;
import java.util.List;
import java.util.Set;

import org.tallycart.core.serving.LoadReport;

/**
 * The upstreams to which a hedge may be sent: an attempt beside one whose upstream is
 * silent or slow.
 * <p>
 * Upstreams that fall silent often do so together with others, which this VM learns only
 * from requests of its own. A hedge therefore goes to an upstream that has sent something
 * to this VM a moment ago, if there is one.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class HedgeTargets {

	/**
	 * Use of the slots of a service from which on it counts as full. The rest is left to
	 * first attempts, since load reports are up to a second old.
	 */
	private static final double FULL_UTILIZATION = 0.9;

	private HedgeTargets() {
	}

	/**
	 * Return the upstreams that may receive a hedge.
	 * @param candidates the upstreams that may receive the request
	 * @param tried the ids of those to which it was sent already
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return those that are usable and were not tried; empty if there are none
	 */
	public static List<UpstreamState> from(Collection<UpstreamState> candidates, Set<String> tried, long nowMs) {
		return candidates.stream()
			.filter((state) -> state.isUsable(nowMs) && !tried.contains(state.entry().id()))
			.toList();
	}

	/**
	 * Return the upstreams among which to choose the one that receives a hedge.
	 * @param targets the upstreams that may receive it
	 * @param recentMs the time within which an upstream that is not silent sends
	 * something on a request in progress, in milliseconds
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return those that have sent something within that time; all if none has
	 */
	public static List<UpstreamState> preferred(Collection<UpstreamState> targets, long recentMs, long nowMs) {
		List<UpstreamState> heard = targets.stream()
			.filter((state) -> state.lastHeardMs() >= nowMs - recentMs)
			.toList();
		return heard.isEmpty() ? List.copyOf(targets) : heard;
	}

	/**
	 * Return those of another failure domain than a slow upstream.
	 * @param targets the upstreams that may receive a hedge
	 * @param slowDomain the failure domain of the slow upstream
	 * @return those of other domains; all if there are none
	 */
	public static List<UpstreamState> inOtherDomain(Collection<UpstreamState> targets, String slowDomain) {
		List<UpstreamState> others = targets.stream()
			.filter((state) -> !state.entry().failureDomain().equals(slowDomain))
			.toList();
		return others.isEmpty() ? List.copyOf(targets) : others;
	}

	/**
	 * Return those that have a free slot, by their load reports and by the requests of
	 * this VM.
	 * @param targets the upstreams that may receive a hedge
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return those with a free slot; empty if there are none
	 */
	public static List<UpstreamState> withFreeSlot(Collection<UpstreamState> targets, long nowMs) {
		return targets.stream().filter((state) -> load(state, nowMs) < slots(state, nowMs)).toList();
	}

	/**
	 * Return whether a service has free slots. Upstreams without a recent report are
	 * taken to be used like those with one.
	 * @param upstreams the upstreams that may receive requests of the service
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return false if only first attempts may be sent to it
	 */
	public static boolean hasFreeSlots(Collection<UpstreamState> upstreams, long nowMs) {
		boolean reported = upstreams.stream().anyMatch((state) -> state.report(nowMs).isPresent());
		long load = 0;
		long slots = 0;
		for (UpstreamState state : upstreams) {
			if (!reported || state.report(nowMs).isPresent()) {
				load += load(state, nowMs);
				slots += slots(state, nowMs);
			}
		}
		return load < slots * FULL_UTILIZATION;
	}

	private static int load(UpstreamState state, long nowMs) {
		int reported = state.report(nowMs).map((report) -> report.running() + report.waiting()).orElse(0);
		return Math.max(state.inFlight(), reported);
	}

	private static int slots(UpstreamState state, long nowMs) {
		int slots = state.report(nowMs).map(LoadReport::slots).orElse(state.entry().slots());
		return Math.max(slots, 1);
	}

}
