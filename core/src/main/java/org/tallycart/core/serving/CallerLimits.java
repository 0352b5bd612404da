package org.tallycart.core.serving;

/**
 * What callers may send, and how long they may take or stay idle.
 *
 * @param maxHeaderBytes the longest request head
 * @param maxBodyBytes the longest request body
 * @param headerTimeoutMs how long a head may take, in milliseconds
 * @param idleTimeoutMs how long a connection may be idle, in milliseconds
 * @since 0.1
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

	/** In force while no configuration is known. */
	public static final CallerLimits DEFAULTS = new CallerLimits(16 * 1024, 4 << 20, 3_000, 15_000);

}
