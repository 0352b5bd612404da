package org.tallycart.runtime.event;

import org.tallycart.core.time.HybridTimestamp;

/**
 * One event.
 *
 * @param at when, in hybrid logical time
 * @param process the process
 * @param code what kind of event
 * @param requestId the request it belongs to; empty if none
 * @param detail what happened
 * @since 0.1
 */
public record Event(HybridTimestamp at, String process, EventCode code, String requestId, String detail) {
}
