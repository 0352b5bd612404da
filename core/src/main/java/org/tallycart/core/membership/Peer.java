package org.tallycart.core.membership;

/**
 * What was last heard from another steward.
 *
 * @param vm its VM
 * @param incarnation its incarnation; rises with each restart
 * @param draining whether it takes no new work
 * @param lastHeardMs when it was heard, by the monotonic clock
 * @since 0.1
 */
public record Peer(String vm, long incarnation, boolean draining, long lastHeardMs) {
}
