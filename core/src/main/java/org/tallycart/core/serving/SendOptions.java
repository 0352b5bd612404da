package org.tallycart.core.serving;

import java.util.List;
import java.util.Optional;

/**
 * What an upstream is told beside the caller's own request.
 *
 * @param remainingMs how long it may work, in milliseconds
 * @param workspace the caller's workspace
 * @param priority the request's rank for an engine; empty for plain services
 * @param inputs handles of the stage results that it reads
 * @param fetchFrom an engine to copy shared parts of the prompt from
 * @param lastEventId the last event of the stream that the caller has
 * @since 0.1
 */
public record SendOptions(long remainingMs, Optional<String> workspace, Optional<Integer> priority, List<String> inputs,
		Optional<UpstreamEntry> fetchFrom, Optional<String> lastEventId) {
}
