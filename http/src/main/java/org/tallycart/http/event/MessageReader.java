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
 * Turns received bytes into heads, parts of bodies, and ends of messages.
 * <p>
 * Invariant: the sink hears of one message at a time, its head first and its end last;
 * after a malformed message it hears of none. Not thread-safe: belongs to one event loop.
 *
 * @param <T> the kind of message
 */
final class MessageReader<T extends HttpMessage> {

	private static final int PART_BYTES = 8 * 1024;

	private final NHttpMessageParser<T> parser;

	private final Sink<T> sink;

	private final ReceiveBuffer received = new ReceiveBuffer();

	private final ByteBuffer part = ByteBuffer.allocate(PART_BYTES);

	private final EndOfInputChannel inboundEnd = new EndOfInputChannel();

	private @Nullable ContentDecoder body;

	private int headConsumed;

	private boolean failed;

	MessageReader(NHttpMessageParser<T> parser, Sink<T> sink) {
		this.parser = parser;
		this.sink = sink;
	}

	/**
	 * Parse what can be parsed.
	 * @param bytes the bytes that came
	 */
	void receive(ByteBuf bytes) {
		this.received.add(bytes);
		proceed();
	}

	/**
	 * Go on with bytes that came earlier, after the sink was ready for the next message.
	 */
	void proceed() {
		try {
			while (!this.failed && this.sink.wantsMore() && step()) {
				// Each step parses one head or one part of a body.
			}
		}
		catch (IOException | HttpException ex) {
			fail("malformed message: " + ex.getMessage());
		}
		this.received.trim();
	}

	/**
	 * Take note that the peer sends nothing more.
	 * @return whether this ended a body that lasts until then
	 */
	boolean inputEnded() {
		this.inboundEnd.ended = true;
		boolean endsBody = this.body instanceof IdentityDecoder;
		if (endsBody) {
			proceed();
		}
		return endsBody;
	}

	/**
	 * Return how many bytes wait to be parsed.
	 * @return the count
	 */
	int unparsed() {
		return this.received.length();
	}

	/**
	 * Return how long the head is that has begun and is not yet whole.
	 * @return the bytes that came of it, 0 between messages and in bodies
	 */
	int incompleteHeadBytes() {
		return (this.body != null) ? 0 : this.headConsumed + this.received.length();
	}

	private boolean step() throws IOException, HttpException {
		return (this.body != null) ? readBody(this.body) : readHead();
	}

	private boolean readHead() throws IOException, HttpException {
		int before = this.received.length();
		T head = this.parser.parse(this.received, false);
		this.headConsumed += before - this.received.length();
		if (head == null) {
			return false;
		}
		this.parser.reset();
		this.headConsumed = 0;
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
			case FIXED -> new LengthDelimitedDecoder(this.inboundEnd, this.received, metrics, framing.length());
			case CHUNKED -> new ChunkDecoder(this.inboundEnd, this.received, metrics);
			case UNTIL_CLOSE -> new IdentityDecoder(this.inboundEnd, this.received, metrics);
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
	 * Hears of messages.
	 *
	 * @param <T> the kind of message
	 */
	interface Sink<T> {

		/**
		 * Tell whether the next head or part may come now.
		 * @return false to leave it waiting
		 */
		boolean wantsMore();

		/**
		 * Take a head.
		 * @param head the head
		 * @return how its body is framed, or why the message is malformed
		 */
		Either<String, BodyFraming> onHead(T head);

		/**
		 * Take a part of the body.
		 * @param part its bytes
		 */
		void onBody(byte[] part);

		/** Take note that the message is whole. */
		void onEnd();

		/**
		 * Take note that what came is no message; nothing more will be parsed.
		 * @param reason what is wrong
		 */
		void onMalformed(String reason);

	}

	/** Tells decoders, which ask when the buffer is empty, whether more can come. */
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
