package org.tallycart.runtime.event;

import org.tallycart.core.time.HybridTimestamp;

/**
 * Recorded event of a process.
 *
 * @param at the hybrid logical time of the event
 * @param process the name of the process
 * @param code the event code
 * @param requestId the ID of the request, or empty if there is none
 * @param detail a description of the event
 * @since 0.1
 */
public record Event(HybridTimestamp at, String process, EventCode code, String requestId, String detail) {
}
