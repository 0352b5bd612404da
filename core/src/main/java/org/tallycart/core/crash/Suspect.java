package org.tallycart.core.crash;

/**
 * A request that may have crashed an upstream: it was in flight there and had only just
 * started, or may have started.
 *
 * @param fingerprint fingerprint of the request
 * @param requestId request id, unique to one attempt of the caller
 * @param sentMs time at which it was sent to the upstream, on the monotonic clock, in
 * milliseconds
 * @since 0.1
 */
public record Suspect(Fingerprint fingerprint, String requestId, long sentMs) {
}
