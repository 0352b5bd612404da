package org.tallycart.core.policy;

/**
 * The facts about an upstream, as input of a policy.
 *
 * @param id id of the upstream
 * @param domain failure domain of the upstream
 * @param sameDomain whether the upstream is in the failure domain of this VM
 * @param inFlight number of calls in flight from this VM
 * @param reported number of running and queued calls that it reported
 * @param reportAgeMs age of the report, in milliseconds; -1 if there is none
 * @param slots maximum number of concurrent calls
 * @since 0.1
 */
public record UpstreamFacts(String id, String domain, boolean sameDomain, int inFlight, int reported, long reportAgeMs,
		int slots) {
}
