package org.tallycart.core.upstream;

import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * The upstreams to which a hedge may be sent: an attempt beside one whose upstream is
 * silent.
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

}
