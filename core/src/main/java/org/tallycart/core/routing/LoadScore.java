package org.tallycart.core.routing;

/**
 * Estimates the calls for each slot of an upstream: this VM's calls in flight, the calls
 * of other VMs by the latest report, and the operator policy's addition. The reported
 * part decays exponentially with the age of the report.
 * <p>
 * Immutable and thread-safe.
 *
 * @since 0.1
 */
final class LoadScore {

	/** Penalty for an upstream in another failure domain, in calls for each slot. */
	private static final double CROSS_DOMAIN_PENALTY = 0.05;

	private final double halfLifeMs;

	LoadScore(double halfLifeMs) {
		this.halfLifeMs = halfLifeMs;
	}

	/**
	 * Compute the score of an upstream.
	 * @param candidate the upstream
	 * @return the score; a lower one is better
	 */
	double compute(Candidate candidate) {
		double calls = candidate.inFlight() + otherVmsCalls(candidate) + candidate.policyScore();
		double penalty = candidate.sameDomain() ? 0 : CROSS_DOMAIN_PENALTY;
		return (calls + 1) / candidate.upstream().slots() + penalty;
	}

	private double otherVmsCalls(Candidate candidate) {
		if (candidate.reportAgeMs() < 0) {
			return 0;
		}
		int reportedByOthers = Math.max(candidate.reportedCalls() - candidate.inFlightAtReport(), 0);
		return reportedByOthers * Math.pow(0.5, candidate.reportAgeMs() / this.halfLifeMs);
	}

}
