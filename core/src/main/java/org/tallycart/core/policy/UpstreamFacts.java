package org.tallycart.core.policy;

/**
 * What a policy may know of an upstream.
 *
 * @param id the upstream
 * @param domain its failure domain
 * @param sameDomain whether that is this VM's failure domain
 * @param inFlight calls in flight from this VM
 * @param reported calls it reported, running and waiting
 * @param reportAgeMs age of that report, in milliseconds; -1 if there is none
 * @param slots how many calls it runs at a time
 * @since 0.1
 */
public record UpstreamFacts(String id, String domain, boolean sameDomain, int inFlight, int reported, long reportAgeMs,
		int slots) {
}
