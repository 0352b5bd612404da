package org.tallycart.core.policy;

/**
 * What a policy may know of this VM's load at one stage.
 *
 * @param stage the stage's service
 * @param waiting requests waiting on this VM
 * @param inFlight calls in flight from this VM
 * @param limit calls this VM may have in flight
 * @param waitMs expected wait, in milliseconds
 * @since 0.1
 */
public record LoadFacts(String stage, int waiting, int inFlight, int limit, long waitMs) {
}
