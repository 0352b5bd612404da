package org.tallycart.core.stream;

/**
 * A stream that has begun, as told to another VM.
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the id of the caller's request that began the stream
 * @param origin where the stream began
 * @param remainingMs time for which this has to be kept, in milliseconds
 * @since 0.1
 */
public record BegunStream(String id, StreamOrigin origin, long remainingMs) {
}
