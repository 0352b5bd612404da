package org.tallycart.http.event;

import org.tallycart.core.serving.CallerLimits;

/**
 * Size limits and timeouts for requests of callers.
 * <p>
 * Immutable and thread-safe.
 *
 * @param maxHeadBytes the maximum size of a request head, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headTimeoutMs the timeout for a head, in milliseconds from its first byte
 * @param idleTimeoutMs the timeout of an idle connection, in milliseconds
 * @since 0.1
 */
public record RequestLimits(int maxHeadBytes, long maxBodyBytes, long headTimeoutMs, long idleTimeoutMs) {

	/**
	 * Create request limits from the limits of a configuration.
	 * @param limits the configured limits
	 * @return the request limits
	 */
	public static RequestLimits of(CallerLimits limits) {
		return new RequestLimits(limits.maxHeaderBytes(), limits.maxBodyBytes(), limits.headerTimeoutMs(),
				limits.idleTimeoutMs());
	}

}
