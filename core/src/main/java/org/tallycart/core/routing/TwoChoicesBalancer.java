package org.tallycart.core.routing;

import java.util.List;

/**
 * Power-of-two-choices balancer: draws two upstreams at random and chooses the one with
 * the lower load score.
 * <p>
 * Thread-safe: immutable.
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
	 * Create a balancer that discounts load reports by their age.
	 * @param halfLifeMs half-life of a report's weight, in milliseconds
	 * @return the balancer
	 */
	public static TwoChoicesBalancer withAgeDiscount(double halfLifeMs) {
		return new TwoChoicesBalancer(halfLifeMs);
	}

	/**
	 * Create a balancer that weights load reports independently of their age.
	 * @return the balancer
	 */
	public static TwoChoicesBalancer withoutAgeDiscount() {
		return new TwoChoicesBalancer(Double.POSITIVE_INFINITY);
	}

	@Override
	public Candidate choose(List<Candidate> candidates, RandomSource random) {
		int size = candidates.size();
		int first = random.nextInt(size);
		if (size == 1) {
			return candidates.get(first);
		}
		int second = (first + 1 + random.nextInt(size - 1)) % size;
		Candidate one = candidates.get(first);
		Candidate two = candidates.get(second);
		return (this.score.compute(one) <= this.score.compute(two)) ? one : two;
	}

}
