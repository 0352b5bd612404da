package org.tallycart.wire;

/**
 * Why a call between processes has no reply.
 *
 * @since 0.1
 */
public enum WireError {

	/** No connection; the call was not sent. */
	NOT_CONNECTED,
	/** No reply came in time; the call may have been handled. */
	TIMED_OUT,
	/** The connection closed before a reply came; the call may have been handled. */
	CLOSED

}
