package org.tallycart.http.event;

/**
 * How the end of a reply was detected.
 *
 * @since 0.1
 */
public enum ReplyEnd {

	/** The reply has the length, or the last chunk, that its framing requires. */
	FRAMED,

	/**
	 * The reply has neither a length nor chunks, and the upstream closed its side of the
	 * connection. An upstream that crashes can do the same.
	 */
	INPUT_CLOSED

}
