package org.tallycart.core.routing;

import java.util.List;

/**
 * Least-connections balancer, weighted by slots: chooses the upstream with the fewest
 * calls in flight from this VM for each slot; ties are broken at random.
 * <p>
 * Thread-safe: stateless.
 *
 * @since 0.1
 */
public final class LeastInFlightBalancer implements Balancer {

	@Override
	public Candidate choose(List<Candidate> candidates, RandomSource random) {
		int start = random.nextInt(candidates.size());
		Candidate best = candidates.get(start);
		for (int i = 1; i < candidates.size(); i++) {
			Candidate next = candidates.get((start + i) % candidates.size());
			if (utilization(next) < utilization(best)) {
				best = next;
			}
		}
		return best;
	}

	private static double utilization(Candidate candidate) {
		return (double) candidate.inFlight() / candidate.upstream().slots();
	}

}
