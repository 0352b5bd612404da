package org.tallycart.node.request;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;

import org.tallycart.http.event.HeldBuffer;
import org.tallycart.http.event.LimitExceeded;
import org.tallycart.http.event.MessageLimit;
import org.tallycart.http.event.ReceiveLimits;
import org.tallycart.http.event.ReplyEnd;

/**
 * Splits the stream of one attempt at event boundaries, tracks the id of the last
 * complete event, and tells whether the end of the stream leaves it complete.
 * <p>
 * Invariants: forwarded bytes end at an event boundary, so that a stream which breaks
 * within an event can be resumed at another upstream. Each byte is scanned once. Nothing
 * is forwarded after a limit was exceeded. Not thread-safe: confined to the event loop.
 */
final class EventSplitter {

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.UTF_8);

	private static final String COMMENT = ":";

	private final int maxEventBytes;

	private final Consumer<LimitExceeded> onExceeded;

	/** The bytes after the last complete event. */
	private final HeldBuffer pending;

	/** Index of the incomplete line in the pending bytes. */
	private int lineStart;

	private boolean anyLine;

	private boolean anyField;

	private Optional<String> pendingId = Optional.empty();

	private Optional<String> lastId;

	/** Bytes since the last event that holds a field. */
	private long eventBytes;

	private boolean anyEvent;

	private boolean progressed;

	private boolean ended;

	/**
	 * Create a splitter.
	 * @param lastId the id of the last event that the caller has received
	 * @param limits the limits on what is received
	 * @param onExceeded a callback for when a limit is exceeded, called once at most
	 */
	EventSplitter(Optional<String> lastId, ReceiveLimits limits, Consumer<LimitExceeded> onExceeded) {
		this.lastId = lastId;
		this.maxEventBytes = limits.message().eventBytes();
		this.onExceeded = onExceeded;
		this.pending = new HeldBuffer(MessageLimit.EVENT_BYTES, this.maxEventBytes, limits.held(), this::onDiscarded);
	}

	private void onDiscarded(LimitExceeded exceeded) {
		if (!this.ended) {
			this.ended = true;
			this.onExceeded.accept(exceeded);
		}
	}

	/**
	 * Append bytes of the stream.
	 * @param part the bytes
	 * @param consumer receives all events that are now complete, as one array
	 */
	void receive(byte[] part, Consumer<byte[]> consumer) {
		if (this.ended) {
			return;
		}
		this.progressed = false;
		int end = 0;
		int begin = 0;
		int counted = 0;
		for (int i = 0; i < part.length; i++) {
			if (part[i] != '\n') {
				continue;
			}
			boolean emptyLine = isEmpty(part, begin, i);
			if (!emptyLine) {
				readLine(part, begin, i);
			}
			// Blank lines that follow an event belong to it.
			if (emptyLine && (this.anyLine || end > 0 && end == begin)) {
				this.eventBytes += i + 1 - counted;
				counted = i + 1;
				if (this.eventBytes > this.maxEventBytes) {
					break;
				}
				endEvent();
				end = i + 1;
			}
			else {
				this.anyLine = true;
			}
			begin = i + 1;
			this.lineStart = this.pending.length() + begin;
		}
		if (this.eventBytes <= this.maxEventBytes) {
			this.eventBytes += part.length - counted;
		}
		forward(part, end, consumer);
	}

	private void forward(byte[] part, int end, Consumer<byte[]> consumer) {
		if (end > 0) {
			this.lineStart -= this.pending.length() + end;
			boolean whole = end == part.length && this.pending.length() == 0;
			consumer.accept(whole ? part : this.pending.takeWith(part, end));
		}
		if (this.ended) {
			return;
		}
		if (this.eventBytes > this.maxEventBytes) {
			this.pending.release();
			onDiscarded(new LimitExceeded(MessageLimit.EVENT_BYTES, this.maxEventBytes, this.eventBytes));
			return;
		}
		this.pending.append(part, end, part.length);
	}

	// A line may have begun in the pending bytes.
	private boolean isEmpty(byte[] part, int from, int to) {
		int pendingBytes = Math.max(this.pending.length() + from - this.lineStart, 0);
		int length = pendingBytes + to - from;
		return length == 0 || length == 1 && lastByte(part, from, to) == '\r';
	}

	private byte lastByte(byte[] part, int from, int to) {
		return (to > from) ? part[to - 1] : this.pending.copyFrom(this.pending.length() - 1)[0];
	}

	private void readLine(byte[] part, int from, int to) {
		boolean carried = this.lineStart < this.pending.length() && from == 0;
		byte[] line = part;
		int begin = from;
		int end = to;
		if (carried) {
			byte[] head = this.pending.copyFrom(this.lineStart);
			line = Arrays.copyOf(head, head.length + to);
			System.arraycopy(part, 0, line, head.length, to);
			begin = 0;
			end = line.length;
		}
		this.anyField |= line[begin] != COMMENT.charAt(0);
		int idEnd = begin + ID_FIELD.length;
		if (idEnd <= end && Arrays.equals(line, begin, idEnd, ID_FIELD, 0, ID_FIELD.length)) {
			this.pendingId = Optional.of(new String(line, idEnd, end - idEnd, StandardCharsets.UTF_8).trim());
		}
	}

	private void endEvent() {
		if (this.pendingId.isPresent()) {
			this.lastId = this.pendingId;
		}
		if (this.anyField) {
			this.progressed = true;
			this.anyEvent = true;
			this.eventBytes = 0;
		}
		this.pendingId = Optional.empty();
		this.anyLine = false;
		this.anyField = false;
	}

	/**
	 * Return whether the events of the last bytes move the stream on: one of them holds a
	 * field. Comments and blank lines move nothing on, nor does a part of an event.
	 * @return true if they do
	 */
	boolean hasProgressed() {
		return this.progressed;
	}

	/**
	 * Remove and return the bytes after the last complete event, once the stream is
	 * complete.
	 * @return the bytes; empty if there are none
	 */
	byte[] takeRemainder() {
		return this.pending.take();
	}

	/** End the stream, and discard what is left of it. */
	void close() {
		this.ended = true;
		this.pending.release();
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
		return new String(this.pending.copyFrom(0), StandardCharsets.UTF_8).lines()
			.anyMatch((line) -> !line.isEmpty() && !line.startsWith(COMMENT));
	}

	Optional<String> lastId() {
		return this.lastId;
	}

}
