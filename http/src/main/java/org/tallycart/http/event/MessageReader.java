package org.tallycart.http.event;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;

import io.netty.buffer.ByteBuf;
import io.vavr.control.Either;
import org.apache.hc.core5.http.FormattedHeader;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ChunkDecoder;
import org.apache.hc.core5.http.impl.nio.IdentityDecoder;
import org.apache.hc.core5.http.impl.nio.LengthDelimitedDecoder;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.jspecify.annotations.Nullable;
import org.tallycart.http.StrictLineParser;

/**
 * Incremental parser of received bytes into message heads, body parts and message ends.
 * <p>
 * Invariant: the sink receives one message at a time, its head first and its end last,
 * and none after a malformed message or one that exceeds a limit. Not thread-safe:
 * confined to one event loop.
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

	private final Http1Config config;

	private MessageLimits limits;

	private int consumedHeadBytes;

	private long contentBytes;

	private long framingBytes;

	private boolean parsing;

	private boolean failed;

	MessageReader(MessageLimits limits, Function<Http1Config, NHttpMessageParser<T>> parser, Sink<T> sink) {
		this.limits = limits;
		// The bytes of all lines together are limited here.
		this.config = Http1Config.custom()
			.setMaxLineLength(Integer.MAX_VALUE)
			.setMaxHeaderCount(limits.headLines())
			.build();
		this.parser = parser.apply(this.config);
		this.sink = sink;
	}

	/**
	 * Set the limits from now on, except that on the number of lines.
	 * @param updated the limits
	 */
	void setLimits(MessageLimits updated) {
		this.limits = updated;
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
	 * Parse buffered bytes, once the sink is ready for the next message. Within a call of
	 * the sink this has no effect: parsing goes on after it, so that the stack does not
	 * grow with the number of messages.
	 */
	void resume() {
		if (this.parsing) {
			return;
		}
		this.parsing = true;
		try {
			while (!this.failed && this.sink.isReady() && step()) {
				// Each step parses one head or one body part.
			}
		}
		catch (MessageConstraintException ex) {
			exceed(MessageLimit.HEAD_LINES, this.limits.headLines(), this.limits.headLines() + 1L);
		}
		catch (IOException | HttpException ex) {
			fail("malformed message: " + ex.getMessage());
		}
		finally {
			this.parsing = false;
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
		int headBytes = this.consumedHeadBytes + ((head != null) ? 0 : this.received.length());
		if (headBytes > this.limits.headBytes()) {
			exceed(MessageLimit.HEAD_BYTES, this.limits.headBytes(), headBytes);
			return false;
		}
		if (head == null) {
			return false;
		}
		this.parser.reset();
		this.consumedHeadBytes = 0;
		this.contentBytes = 0;
		this.framingBytes = 0;
		Either<String, BodyFraming> framing = this.sink.onHead(head);
		if (framing.isLeft()) {
			fail(framing.getLeft());
			return false;
		}
		this.body = decoder(framing.get());
		this.received.setLineCheck((framing.get().kind() == BodyFraming.Kind.CHUNKED) ? new ChunkSizeCheck()
				: ReceiveBuffer.LineCheck.NONE);
		return true;
	}

	private ContentDecoder decoder(BodyFraming framing) {
		BasicHttpTransportMetrics metrics = new BasicHttpTransportMetrics();
		return switch (framing.kind()) {
			case FIXED -> new LengthDelimitedDecoder(this.endOfInput, this.received, metrics, framing.length());
			case CHUNKED -> new ChunkDecoder(this.endOfInput, this.received, this.config, metrics);
			case UNTIL_CLOSE -> new IdentityDecoder(this.endOfInput, this.received, metrics);
		};
	}

	private boolean readBody(ContentDecoder decoder) throws IOException, HttpException {
		this.part.clear();
		int before = this.received.length();
		int count = decoder.read(this.part);
		this.contentBytes += this.part.position();
		this.framingBytes += before - this.received.length() - this.part.position();
		if (this.part.position() > 0) {
			this.sink.onBody(Arrays.copyOf(this.part.array(), this.part.position()));
		}
		if (!isFramingWithinLimit(decoder)) {
			return false;
		}
		if (decoder.isCompleted()) {
			checkTrailers(decoder);
			this.received.setLineCheck(ReceiveBuffer.LineCheck.NONE);
			this.body = null;
			this.sink.onEnd();
			return this.received.hasData();
		}
		return count > 0;
	}

	// The decoder of the library parses trailers leniently.
	private static void checkTrailers(ContentDecoder decoder) throws ParseException {
		List<? extends Header> trailers = decoder.getTrailers();
		if (trailers == null) {
			return;
		}
		for (Header trailer : trailers) {
			if (trailer instanceof FormattedHeader formatted) {
				StrictLineParser.checkField(formatted.getBuffer());
			}
		}
	}

	// Bytes that are left when nothing can be read are an incomplete line.
	private boolean isFramingWithinLimit(ContentDecoder decoder) {
		boolean incompleteLine = this.part.position() == 0 && !decoder.isCompleted();
		long framing = this.framingBytes + (incompleteLine ? this.received.length() : 0);
		long maximum = this.limits.maxFramingBytes(this.contentBytes);
		if (framing > maximum) {
			exceed(MessageLimit.FRAMING_BYTES, maximum, framing);
		}
		return framing <= maximum;
	}

	private void exceed(MessageLimit limit, long maximum, long count) {
		this.failed = true;
		this.sink.onLimitExceeded(new LimitExceeded(limit, maximum, count));
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

		/**
		 * Handle a message that exceeds a limit; no further bytes are parsed.
		 * @param exceeded the limit
		 */
		void onLimitExceeded(LimitExceeded exceeded);

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
