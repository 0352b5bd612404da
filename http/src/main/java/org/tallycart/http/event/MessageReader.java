package org.tallycart.http.event;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.Arrays;

import io.netty.buffer.ByteBuf;
import io.vavr.control.Either;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ChunkDecoder;
import org.apache.hc.core5.http.impl.nio.IdentityDecoder;
import org.apache.hc.core5.http.impl.nio.LengthDelimitedDecoder;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.jspecify.annotations.Nullable;

/**
 * Incremental parser of received bytes into message heads, body parts and message ends.
 * <p>
 * Invariant: the sink receives one message at a time, its head first and its end last,
 * and none after a malformed message. Not thread-safe: confined to one event loop.
 *
 * @param <T> the type of message head
 */
final class MessageReader<T extends HttpMessage> {

	private static final int PART_BYTES = 8 * 1024;

	private final NHttpMessageParser<T> parser;

	private final Sink<T> sink;

	private final ReceiveBuffer received = new ReceiveBuffer();

	private final ByteBuffer part = ByteBuffer.allocate(PART_BYTES);

	private final EndOfInputChannel endOfInput = new EndOfInputChannel();

	private @Nullable ContentDecoder body;

	private int consumedHeadBytes;

	private boolean failed;

	MessageReader(NHttpMessageParser<T> parser, Sink<T> sink) {
		this.parser = parser;
		this.sink = sink;
	}

	/**
	 * Append received bytes and parse as far as possible.
	 * @param bytes the received bytes
	 */
	void receive(ByteBuf bytes) {
		this.received.add(bytes);
		resume();
	}

	/**
	 * Parse buffered bytes, once the sink is ready for the next message.
	 */
	void resume() {
		try {
			while (!this.failed && this.sink.isReady() && step()) {
				// Each step parses one head or one body part.
			}
		}
		catch (IOException | HttpException ex) {
			fail("malformed message: " + ex.getMessage());
		}
		this.received.trim();
	}

	/** Handle the end of the input, which completes a body that is delimited by it. */
	void onInputEnd() {
		this.endOfInput.ended = true;
		if (this.body instanceof IdentityDecoder) {
			resume();
		}
	}

	/**
	 * Return the number of buffered bytes that are not parsed yet.
	 * @return the count
	 */
	int unparsedBytes() {
		return this.received.length();
	}

	/**
	 * Return the size of the incomplete head received so far.
	 * @return the size in bytes, 0 between messages and within bodies
	 */
	int incompleteHeadBytes() {
		return (this.body != null) ? 0 : this.consumedHeadBytes + this.received.length();
	}

	private boolean step() throws IOException, HttpException {
		return (this.body != null) ? readBody(this.body) : readHead();
	}

	private boolean readHead() throws IOException, HttpException {
		int before = this.received.length();
		T head = this.parser.parse(this.received, false);
		this.consumedHeadBytes += before - this.received.length();
		if (head == null) {
			return false;
		}
		this.parser.reset();
		this.consumedHeadBytes = 0;
		Either<String, BodyFraming> framing = this.sink.onHead(head);
		if (framing.isLeft()) {
			fail(framing.getLeft());
			return false;
		}
		this.body = decoder(framing.get());
		return true;
	}

	private ContentDecoder decoder(BodyFraming framing) {
		BasicHttpTransportMetrics metrics = new BasicHttpTransportMetrics();
		return switch (framing.kind()) {
			case FIXED -> new LengthDelimitedDecoder(this.endOfInput, this.received, metrics, framing.length());
			case CHUNKED -> new ChunkDecoder(this.endOfInput, this.received, metrics);
			case UNTIL_CLOSE -> new IdentityDecoder(this.endOfInput, this.received, metrics);
		};
	}

	private boolean readBody(ContentDecoder decoder) throws IOException {
		this.part.clear();
		int count = decoder.read(this.part);
		if (this.part.position() > 0) {
			this.sink.onBody(Arrays.copyOf(this.part.array(), this.part.position()));
		}
		if (decoder.isCompleted()) {
			this.body = null;
			this.sink.onEnd();
			return this.received.hasData();
		}
		return count > 0;
	}

	private void fail(String reason) {
		this.failed = true;
		this.sink.onMalformed(reason);
	}

	/**
	 * Receiver of parsed messages.
	 *
	 * @param <T> the type of message head
	 */
	interface Sink<T> {

		/**
		 * Return whether the sink accepts the next head or part.
		 * @return false to leave further bytes buffered
		 */
		boolean isReady();

		/**
		 * Handle a message head.
		 * @param head the head
		 * @return the framing of the body, or the reason why the message is malformed
		 */
		Either<String, BodyFraming> onHead(T head);

		/**
		 * Handle a part of the body.
		 * @param part the bytes of the part
		 */
		void onBody(byte[] part);

		/** Handle the end of a complete message. */
		void onEnd();

		/**
		 * Handle a malformed message; no further bytes are parsed.
		 * @param reason the reason
		 */
		void onMalformed(String reason);

	}

	/** Channel without data, from which decoders read only the end of the input. */
	private static final class EndOfInputChannel implements ReadableByteChannel {

		private boolean ended;

		@Override
		public int read(ByteBuffer target) {
			return this.ended ? -1 : 0;
		}

		@Override
		public boolean isOpen() {
			return !this.ended;
		}

		@Override
		public void close() {
			this.ended = true;
		}

	}

}
