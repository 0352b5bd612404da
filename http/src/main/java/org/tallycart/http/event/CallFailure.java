package org.tallycart.http.event;

/**
 * Why a call has no whole reply.
 *
 * @param kind what happened
 * @param sent whether a byte of the call may have left this process
 * @param detail a short text for people
 * @since 0.1
 */
public record CallFailure(Kind kind, boolean sent, String detail) {

	/** Kinds of failure. */
	public enum Kind {

		/** No connection could be made in time. */
		NOT_CONNECTED,
		/** The connection ended before the reply was whole. */
		CLOSED,
		/** What came is no reply. */
		MALFORMED

	}

}
