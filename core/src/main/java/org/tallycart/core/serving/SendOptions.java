package org.tallycart.core.serving;

import java.util.List;
import java.util.Optional;

/**
 * Options sent to an upstream in addition to the caller's request.
 *
 * @param remainingMs time left for processing, in milliseconds
 * @param workspace the caller's workspace
 * @param priority priority at a model engine; empty for plain services
 * @param inputs handles of the stage results to read
 * @param fetchFrom engine to copy the shared prompt parts from
 * @param lastEventId id of the last event that the caller received, for a resumed stream
 * @since 0.1
 */
public record SendOptions(long remainingMs, Optional<String> workspace, Optional<Integer> priority, List<String> inputs,
		Optional<UpstreamEntry> fetchFrom, Optional<String> lastEventId) {
}
