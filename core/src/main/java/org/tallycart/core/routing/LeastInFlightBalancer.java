package org.tallycart.core.routing;

import java.util.List;

/**
 * Baseline: the upstream with the least calls in flight from this VM, by its slots; ties
 * are broken at random.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class LeastInFlightBalancer implements Balancer {

	@Override
	public Candidate choose(List<Candidate> candidates, RandomSource random) {
		int start = random.below(candidates.size());
		Candidate best = candidates.get(start);
		for (int i = 1; i < candidates.size(); i++) {
			Candidate next = candidates.get((start + i) % candidates.size());
			if (share(next) < share(best)) {
				best = next;
			}
		}
		return best;
	}

	private static double share(Candidate candidate) {
		return (double) candidate.inFlight() / candidate.upstream().slots();
	}

}
