package org.tallycart.node.stream;

import java.util.Optional;
import java.util.function.BiConsumer;

import org.tallycart.core.stream.StreamOrigin;
import org.tallycart.core.stream.StreamOriginRegistry.LookupSource;

/**
 * Knows where streams began.
 * <p>
 * Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public interface KnownStreamOrigins {

	/**
	 * Record that a stream has begun, before its first event is passed on.
	 * @param id the id of the caller's request
	 * @param origin where it began
	 * @param maxMs the longest time until its caller resumes it, in milliseconds
	 */
	void onBegun(String id, StreamOrigin origin, long maxMs);

	/**
	 * Find where a stream began that a caller resumes.
	 * @param id the id of the request that began it; empty if the caller does not name it
	 * @param service the service that would serve the resumed stream
	 * @param consumer receives the origin and how it was found, at once or later; empty
	 * if the stream may have begun at any version
	 */
	void find(Optional<String> id, String service, BiConsumer<Optional<StreamOrigin>, LookupSource> consumer);

}
