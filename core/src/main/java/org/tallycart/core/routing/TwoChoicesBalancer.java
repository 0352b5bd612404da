package org.tallycart.core.routing;

import java.util.List;

/**
 * Picks two upstreams at random and takes the one with the lower score.
 * <p>
 * The score estimates the calls at the upstream for each of its slots: its report,
 * corrected by the change of this VM's own calls in flight since then, plus the policy's
 * addition. With age discount, an old report loses weight against this VM's own count.
 * Thread-safe: holds no state.
 *
 * @since 0.1
 * @see LoadScore
 */
public final class TwoChoicesBalancer implements Balancer {

	private final LoadScore score;

	private TwoChoicesBalancer(double halfLifeMs) {
		this.score = new LoadScore(halfLifeMs);
	}

	/**
	 * Create a balancer that discounts reports by their age.
	 * @param halfLifeMs age at which a report counts half, in milliseconds
	 * @return the balancer
	 */
	public static TwoChoicesBalancer withAgeDiscount(double halfLifeMs) {
		return new TwoChoicesBalancer(halfLifeMs);
	}

	/**
	 * Create the baseline that takes every report as fresh.
	 * @return the balancer
	 */
	public static TwoChoicesBalancer withoutAgeDiscount() {
		return new TwoChoicesBalancer(Double.POSITIVE_INFINITY);
	}

	@Override
	public Candidate choose(List<Candidate> candidates, RandomSource random) {
		int size = candidates.size();
		int first = random.below(size);
		if (size == 1) {
			return candidates.get(first);
		}
		int second = (first + 1 + random.below(size - 1)) % size;
		Candidate one = candidates.get(first);
		Candidate two = candidates.get(second);
		return (this.score.of(one) <= this.score.of(two)) ? one : two;
	}

}
