package org.tallycart.http.event;

/**
 * Why the connection of a caller has closed.
 * <p>
 * Immutable and thread-safe.
 *
 * @since 0.1
 */
public enum ConnectionEnd {

	/** The caller closed it, or it was lost. */
	CALLER,
	/** It was idle for longer than the limit. */
	IDLE,
	/** A request was refused by its framing, size or time. */
	REFUSED,
	/** The last response stated that it closes the connection. */
	ANSWERED,
	/** A response that had begun could not be completed. */
	BROKEN_OFF,
	/** The server stops, and the connection was idle. */
	STOPPED,
	/** The handling of a request failed unexpectedly. */
	FAILED

}
