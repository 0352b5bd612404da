package org.tallycart.http.event;

/**
 * Failure of a call that has no full reply.
 *
 * @param kind the kind of failure
 * @param sent whether a byte of the call may have been sent
 * @param detail the description, for logs
 * @since 0.1
 */
public record CallFailure(Kind kind, boolean sent, String detail) {

	/** Kinds of failure. */
	public enum Kind {

		/** The connection could not be established within the timeout. */
		NOT_CONNECTED,
		/** The connection was closed before the reply was complete. */
		CLOSED,
		/** The timeout passed before the reply was complete. */
		TIMED_OUT,
		/** The received bytes are not a valid reply. */
		MALFORMED

	}

}
