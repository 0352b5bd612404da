package org.tallycart.core.upstream;

import java.util.Optional;

/**
 * The upstream chosen for a request.
 *
 * @param upstream the upstream that receives the request
 * @param fetchFrom another upstream from which it copies the shared parts of the prompt
 * @since 0.1
 */
public record UpstreamChoice(UpstreamState upstream, Optional<UpstreamState> fetchFrom) {
}
