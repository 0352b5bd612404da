package org.tallycart.http;

/**
 * Failure of an HTTP call.
 *
 * @param kind the kind of failure
 * @param sent whether a byte of the call may have been sent
 * @param message the description, for logs
 * @since 0.1
 */
public record HttpFailure(Kind kind, boolean sent, String message) {

	/** Kinds of failure. */
	public enum Kind {

		/** The connection could not be established. */
		CONNECT,
		/** No byte arrived within the read timeout. */
		TIMEOUT,
		/** The connection failed, or the reply is not valid HTTP. */
		BROKEN,
		/** The reply exceeds a limit. */
		TOO_LARGE

	}

}
