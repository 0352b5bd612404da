package org.tallycart.core.routing;

/**
 * Estimates the calls at an upstream for each of its slots: this VM's own calls in
 * flight, plus what others had there by the last report, plus the policy's addition. With
 * age discount, an old report loses weight against this VM's own count.
 * <p>
 * Immutable and thread-safe.
 *
 * @since 0.1
 */
final class LoadScore {

	private static final double OTHER_DOMAIN_COST = 0.05;

	private final double halfLifeMs;

	LoadScore(double halfLifeMs) {
		this.halfLifeMs = halfLifeMs;
	}

	/**
	 * Score an upstream.
	 * @param candidate the upstream
	 * @return the score; the lower, the better
	 */
	double of(Candidate candidate) {
		double load = candidate.inFlight() + othersLoad(candidate) + candidate.policyScore();
		double domain = candidate.sameDomain() ? 0 : OTHER_DOMAIN_COST;
		return (load + 1) / candidate.upstream().slots() + domain;
	}

	private double othersLoad(Candidate candidate) {
		if (candidate.reportAgeMs() < 0) {
			return 0;
		}
		int others = Math.max(candidate.reportedCalls() - candidate.inFlightAtReport(), 0);
		return others * Math.pow(0.5, candidate.reportAgeMs() / this.halfLifeMs);
	}

}
