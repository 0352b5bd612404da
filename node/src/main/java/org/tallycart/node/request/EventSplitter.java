package org.tallycart.node.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;

import org.tallycart.http.event.ReplyEnd;

/**
 * Splits the stream of one attempt at event boundaries, tracks the id of the last
 * complete event, and tells whether the end of the stream leaves it complete.
 * <p>
 * Invariant: forwarded bytes end at an event boundary, so that a stream which breaks
 * within an event can be resumed at another upstream. Not thread-safe: confined to the
 * event loop.
 */
final class EventSplitter {

	private static final String ID_FIELD = "id:";

	private static final String COMMENT = ":";

	private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

	private Optional<String> lastId;

	private boolean anyEvent;

	EventSplitter(Optional<String> lastId) {
		this.lastId = lastId;
	}

	/**
	 * Append bytes of the stream.
	 * @param part the bytes
	 * @param consumer receives all events that are now complete, as one array
	 */
	void receive(byte[] part, Consumer<byte[]> consumer) {
		this.pending.writeBytes(part);
		byte[] bytes = this.pending.toByteArray();
		int end = endOfLastEvent(bytes);
		if (end == 0) {
			return;
		}
		byte[] complete = Arrays.copyOf(bytes, end);
		readLastId(complete);
		this.anyEvent = true;
		this.pending.reset();
		this.pending.write(bytes, end, bytes.length - end);
		consumer.accept(complete);
	}

	// An event ends with an empty line.
	private static int endOfLastEvent(byte[] bytes) {
		for (int i = bytes.length - 1; i > 0; i--) {
			boolean emptyLine = bytes[i] == '\n'
					&& (bytes[i - 1] == '\n' || (i > 1 && bytes[i - 1] == '\r' && bytes[i - 2] == '\n'));
			if (emptyLine) {
				return i + 1;
			}
		}
		return 0;
	}

	private void readLastId(byte[] events) {
		for (String line : new String(events, StandardCharsets.UTF_8).split("\n")) {
			if (line.startsWith(ID_FIELD)) {
				this.lastId = Optional.of(line.substring(ID_FIELD.length()).trim());
			}
		}
	}

	/**
	 * Remove and return the bytes after the last complete event, once the stream is
	 * complete.
	 * @return the bytes; empty if there are none
	 */
	byte[] takeRemainder() {
		byte[] bytes = this.pending.toByteArray();
		this.pending.reset();
		return bytes;
	}

	/**
	 * Return why the stream is incomplete although its reply has ended. A stream that
	 * ends within an event has been broken off, however its reply is framed. The close of
	 * a connection alone does not show that a stream without events is complete.
	 * @param end how the end of the reply was detected
	 * @return the reason; empty if the stream is complete
	 */
	Optional<String> incompleteReason(ReplyEnd end) {
		if (isWithinEvent()) {
			return Optional.of("the stream ended within an event");
		}
		boolean unproved = !this.anyEvent && end != ReplyEnd.FRAMED;
		return unproved ? Optional.of("the stream ended before its first event") : Optional.empty();
	}

	// Blank lines and comments begin no event.
	private boolean isWithinEvent() {
		return this.pending.toString(StandardCharsets.UTF_8)
			.lines()
			.anyMatch((line) -> !line.isEmpty() && !line.startsWith(COMMENT));
	}

	Optional<String> lastId() {
		return this.lastId;
	}

}
