package org.tallycart.http;

/**
 * Why an HTTP call has no answer.
 *
 * @param kind the kind of failure
 * @param sent whether a byte of the call may have left this process
 * @param message a short text for people
 * @since 0.1
 */
public record HttpFailure(Kind kind, boolean sent, String message) {

	/** Kinds of failure. */
	public enum Kind {

		/** No connection could be made. */
		CONNECT,
		/** Nothing came for too long. */
		TIMEOUT,
		/** The connection broke, or what came was not HTTP. */
		BROKEN,
		/** The answer is larger than is taken. */
		TOO_LARGE

	}

}
