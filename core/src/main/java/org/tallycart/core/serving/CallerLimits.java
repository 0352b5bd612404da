package org.tallycart.core.serving;

/**
 * Size and time limits for caller connections and their requests.
 *
 * @param maxHeaderBytes maximum size of a request head, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeoutMs maximum time to receive a request head, in milliseconds
 * @param idleTimeoutMs maximum idle time of a connection, in milliseconds
 * @since 0.1
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

	/** Limits used until a configuration is loaded. */
	public static final CallerLimits DEFAULTS = new CallerLimits(16 * 1024, 4 << 20, 3_000, 15_000);

}
