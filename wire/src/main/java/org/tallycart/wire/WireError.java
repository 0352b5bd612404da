package org.tallycart.wire;

/**
 * Reason why a call between processes has no reply.
 *
 * @since 0.1
 */
public enum WireError {

	/** No connection could be opened; the call was not sent. */
	NOT_CONNECTED,
	/** The call timed out; it may have been handled. */
	TIMED_OUT,
	/** The connection closed before the reply; the call may have been handled. */
	CLOSED

}
