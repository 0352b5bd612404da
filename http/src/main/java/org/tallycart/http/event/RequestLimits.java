package org.tallycart.http.event;

import org.tallycart.core.serving.CallerLimits;

/**
 * What a caller may send, and how long it may take.
 * <p>
 * Immutable and thread-safe.
 *
 * @param maxHeadBytes the longest head, in bytes
 * @param maxBodyBytes the longest body, in bytes
 * @param headTimeoutMs how long a head may take, in milliseconds from its first byte
 * @param idleTimeoutMs how long a connection may be idle, in milliseconds
 * @since 0.1
 */
public record RequestLimits(int maxHeadBytes, long maxBodyBytes, long headTimeoutMs, long idleTimeoutMs) {

	/**
	 * Take the limits of a configuration.
	 * @param limits the limits
	 * @return the same, for a server
	 */
	public static RequestLimits of(CallerLimits limits) {
		return new RequestLimits(limits.maxHeaderBytes(), limits.maxBodyBytes(), limits.headerTimeoutMs(),
				limits.idleTimeoutMs());
	}

}
