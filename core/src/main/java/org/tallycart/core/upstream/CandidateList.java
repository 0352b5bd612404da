package org.tallycart.core.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Filters lists of candidates, which mostly stay whole, without copying those.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class CandidateList {

	private CandidateList() {
	}

	/**
	 * Return the candidates that are not excluded.
	 * @param candidates the candidates, which are not modified
	 * @param excluded tests whether a candidate is excluded
	 * @return the given list if none is excluded, otherwise a new one in the same order
	 */
	public static List<UpstreamState> without(List<UpstreamState> candidates, Predicate<UpstreamState> excluded) {
		for (int i = 0; i < candidates.size(); i++) {
			if (excluded.test(candidates.get(i))) {
				return copyWithout(candidates, i, excluded);
			}
		}
		return candidates;
	}

	private static List<UpstreamState> copyWithout(List<UpstreamState> candidates, int firstExcluded,
			Predicate<UpstreamState> excluded) {
		List<UpstreamState> remaining = new ArrayList<>(candidates.size());
		remaining.addAll(candidates.subList(0, firstExcluded));
		for (int i = firstExcluded + 1; i < candidates.size(); i++) {
			if (!excluded.test(candidates.get(i))) {
				remaining.add(candidates.get(i));
			}
		}
		return remaining;
	}

}
