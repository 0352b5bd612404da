package org.tallycart.core.routing;

import java.util.List;

/**
 * Chooses the upstream with the lowest load score of all; ties are broken at random.
 * Intended for the small subset of a service's upstreams that one VM uses.
 * <p>
 * Thread-safe: immutable.
 *
 * @since 0.1
 * @see LoadScore
 */
public final class LeastLoadBalancer implements Balancer {

	private final LoadScore score;

	private LeastLoadBalancer(double halfLifeMs) {
		this.score = new LoadScore(halfLifeMs);
	}

	/**
	 * Create a balancer that discounts load reports by their age.
	 * @param halfLifeMs half-life of a report's weight, in milliseconds
	 * @return the balancer
	 */
	public static LeastLoadBalancer withAgeDiscount(double halfLifeMs) {
		return new LeastLoadBalancer(halfLifeMs);
	}

	@Override
	public Candidate choose(List<Candidate> candidates, RandomSource random) {
		int start = random.nextInt(candidates.size());
		Candidate best = candidates.get(start);
		double lowest = this.score.compute(best);
		for (int i = 1; i < candidates.size(); i++) {
			Candidate next = candidates.get((start + i) % candidates.size());
			double score = this.score.compute(next);
			if (score < lowest) {
				best = next;
				lowest = score;
			}
		}
		return best;
	}

}
