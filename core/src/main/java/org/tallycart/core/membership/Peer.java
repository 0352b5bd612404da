package org.tallycart.core.membership;

/**
 * The last known state of another steward.
 *
 * @param vm VM of the steward
 * @param incarnation incarnation of the steward; increases with each restart
 * @param draining whether it accepts no new work
 * @param lastHeardMs time of its last message on the monotonic clock, in milliseconds
 * @since 0.1
 */
public record Peer(String vm, long incarnation, boolean draining, long lastHeardMs) {
}
