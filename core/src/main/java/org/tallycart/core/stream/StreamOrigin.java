package org.tallycart.core.stream;

/**
 * The software that began a stream, and the only one at which the stream may go on.
 * <p>
 * Immutable and thread-safe.
 *
 * @param service the service
 * @param softwareVersion the version of the upstream's software
 * @since 0.1
 */
public record StreamOrigin(String service, String softwareVersion) {
}
