package org.tallycart.http.event;

/**
 * Kinds of limits on what is received. Each ends the message that exceeds it and closes
 * its connection.
 *
 * @since 0.1
 */
public enum MessageLimit {

	/** Bytes of a message head: its first line and its fields. */
	HEAD_BYTES,
	/** Lines of a message head, or of the trailers of a body. */
	HEAD_LINES,
	/** Bytes of the sizes, extensions and trailers of a chunked body. */
	FRAMING_BYTES,
	/** Informational replies, and replies to other calls, before the reply to a call. */
	PRECEDING_REPLIES,
	/** Bytes of the bodies of replies to other calls. */
	SKIPPED_BYTES,
	/** Bytes of a stream from the end of an event to the end of the next one. */
	EVENT_BYTES,
	/** Bytes of the body of a reply that is read fully. */
	REPLY_BYTES,
	/** Bytes of the incomplete messages of all connections of a process. */
	HELD_BYTES

}
