package org.tallycart.http.event;

import java.util.Optional;

/**
 * Failure of a call that has no full reply.
 *
 * @param kind the kind of failure
 * @param sent whether a byte of the call may have been sent
 * @param detail the description, for logs
 * @param exceeded the limit that was exceeded; empty for other kinds, and if another VM
 * made the call
 * @since 0.1
 */
public record CallFailure(Kind kind, boolean sent, String detail, Optional<LimitExceeded> exceeded) {

	/**
	 * Create a failure.
	 * @param kind the kind of failure
	 * @param sent whether a byte of the call may have been sent
	 * @param detail the description, for logs
	 */
	public CallFailure(Kind kind, boolean sent, String detail) {
		this(kind, sent, detail, Optional.empty());
	}

	/**
	 * Create the failure of a call whose reply exceeds a limit.
	 * @param exceeded the limit, and how much was received
	 * @return the failure
	 */
	public static CallFailure of(LimitExceeded exceeded) {
		return new CallFailure(Kind.LIMIT_EXCEEDED, true, exceeded.toString(), Optional.of(exceeded));
	}

	/** Kinds of failure. */
	public enum Kind {

		/** The connection could not be established within the timeout. */
		NOT_CONNECTED,
		/** The connection was closed before the reply was complete. */
		CLOSED,
		/** The timeout passed before the reply was complete. */
		TIMED_OUT,
		/** The received bytes are not a valid reply. */
		MALFORMED,
		/** The reply, or what was received before it, exceeds a limit. */
		LIMIT_EXCEEDED

	}

}
