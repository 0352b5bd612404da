package org.tallycart.core.routing;

import org.tallycart.core.declaration.Upstream;

/**
 * Upstream that is eligible for a call, with its known load.
 *
 * @param upstream the upstream
 * @param inFlight number of calls in flight from this VM
 * @param reportedCalls number of running and waiting calls in its latest report; 0
 * without a report
 * @param inFlightAtReport number of calls in flight from this VM when the report was
 * recorded
 * @param reportAgeMs age of the report, in milliseconds; -1 without a report
 * @param sameDomain whether the upstream is in this VM's failure domain
 * @param policyScore the operator policy's addition to the load, in calls
 * @since 0.1
 */
public record Candidate(Upstream upstream, int inFlight, int reportedCalls, int inFlightAtReport, long reportAgeMs,
		boolean sameDomain, double policyScore) {
}
