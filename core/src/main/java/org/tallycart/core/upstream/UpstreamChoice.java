package org.tallycart.core.upstream;

import java.util.Optional;

/**
 * The upstream chosen for a request.
 *
 * @param upstream the upstream
 * @param fetchFrom another upstream that holds more of the prompt, to copy it from
 * @since 0.1
 */
public record UpstreamChoice(UpstreamState upstream, Optional<UpstreamState> fetchFrom) {
}
