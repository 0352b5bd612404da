package org.tallycart.core.routing;

import org.tallycart.core.declaration.Upstream;

/**
 * An upstream that may be chosen, with what is known of its load.
 *
 * @param upstream the upstream
 * @param inFlight calls in flight from this VM
 * @param reportedCalls calls it reported, running and waiting; 0 if it never did
 * @param inFlightAtReport calls in flight from this VM when the report was made
 * @param reportAgeMs age of the report in milliseconds; -1 if there is none
 * @param sameDomain whether it is in this VM's failure domain
 * @param policyScore what the operator's policy adds to its score
 * @since 0.1
 */
public record Candidate(Upstream upstream, int inFlight, int reportedCalls, int inFlightAtReport, long reportAgeMs,
		boolean sameDomain, double policyScore) {
}
