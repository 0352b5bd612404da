package org.tallycart.node.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Cuts a stream into whole events, and remembers the id of the last one.
 * <p>
 * Invariant: what is handed on ends at the end of an event, so that a stream which breaks
 * in the middle of one can go on at another upstream. Not thread-safe: belongs to one
 * stream.
 */
final class EventSplitter {

	private static final String ID_FIELD = "id:";

	private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

	private Optional<String> lastId;

	EventSplitter(Optional<String> lastId) {
		this.lastId = lastId;
	}

	/**
	 * Take bytes of the stream.
	 * @param part the bytes
	 * @param events takes all events that are whole now, as one piece
	 */
	void receive(byte[] part, Consumer<byte[]> events) {
		this.pending.writeBytes(part);
		byte[] bytes = this.pending.toByteArray();
		int end = endOfLastEvent(bytes);
		if (end == 0) {
			return;
		}
		byte[] whole = Arrays.copyOf(bytes, end);
		readLastId(whole);
		this.pending.reset();
		this.pending.write(bytes, end, bytes.length - end);
		events.accept(whole);
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
	 * Return what is left when the stream has ended as complete.
	 * @return bytes after the last whole event
	 */
	byte[] rest() {
		byte[] bytes = this.pending.toByteArray();
		this.pending.reset();
		return bytes;
	}

	/** Forget the part of an event that came before the stream broke. */
	void dropPartial() {
		this.pending.reset();
	}

	Optional<String> lastId() {
		return this.lastId;
	}

}
