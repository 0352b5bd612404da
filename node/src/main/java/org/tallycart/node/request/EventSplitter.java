package org.tallycart.node.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events at event boundaries, and tracks the id of the
 * last complete event.
 * <p>
 * Invariant: forwarded bytes end at an event boundary, so that a stream which breaks
 * within an event can be resumed at another upstream. Not thread-safe: confined to the
 * event loop; one instance per stream.
 */
final class EventSplitter {

	private static final String ID_FIELD = "id:";

	private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

	private Optional<String> lastId;

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

	/** Discard an incomplete event after the stream broke. */
	void dropPartial() {
		this.pending.reset();
	}

	Optional<String> lastId() {
		return this.lastId;
	}

}
