package org.tallycart.core.policy;

/**
 * The load of this VM at one stage, as input of a policy.
 *
 * @param stage service of the stage
 * @param waiting number of requests queued on this VM
 * @param inFlight number of calls in flight from this VM
 * @param limit maximum number of calls in flight from this VM
 * @param waitMs expected queueing time, in milliseconds
 * @since 0.1
 */
public record LoadFacts(String stage, int waiting, int inFlight, int limit, long waitMs) {
}
