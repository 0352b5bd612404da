package org.tallycart.http.event;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.tallycart.core.ini.Address;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for the exact limits of {@link MessageLimits}, and for memory that a connection
 * keeps.
 */
public class MessageLimitsTests {

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	private static final String EMPTY = OK + "Content-Length: 0\r\n\r\n";

	private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

	private static final MessageLimits LIMITS = MessageLimits.builder()
		.headBytes(100)
		.headLines(3)
		.framingBytes(50)
		.precedingReplies(2)
		.skippedBytes(20)
		.build();

	private final List<String> outcomes = new ArrayList<>();

	private EmbeddedChannel connect() {
		this.outcomes.clear();
		UpstreamConnection connection = new UpstreamConnection(new ConnectionPool(() -> 0), LIMITS,
				ConnectionObserver.NONE);
		EmbeddedChannel channel = new EmbeddedChannel(connection);
		connection.start(
				ClientRequest.builder("p", new Address("127.0.0.1", 1), new BasicHttpRequest("GET", "/x")).build(),
				new LimitListener(this.outcomes));
		return channel;
	}

	private static String head(int bytes) {
		String begin = OK + "Content-Length: 0\r\nF: ";
		return begin + "x".repeat(bytes - begin.length() - 4) + "\r\n\r\n";
	}

	private static String framing(int bytes) {
		int others = "1\r\n\r\n0;\r\n\r\n".length();
		return CHUNKED + "1\r\nx\r\n0;" + "e".repeat(bytes - others) + "\r\n\r\n";
	}

	private static String trailers(int bytes) {
		int others = "0\r\nT: \r\n\r\n".length();
		return CHUNKED + "0\r\nT: " + "x".repeat(bytes - others) + "\r\n\r\n";
	}

	private static String lines(int count) {
		return OK + "Content-Length: 0\r\n" + "F: x\r\n".repeat(count - 1) + "\r\n";
	}

	private static String preceding(int count) {
		return "HTTP/1.1 102 Processing\r\n\r\n".repeat(count) + EMPTY;
	}

	private static String skipped(int bytes) {
		return OK + "Foreign: 1\r\nContent-Length: " + bytes + "\r\n\r\n" + "x".repeat(bytes) + EMPTY;
	}

	@DataProvider
	static Object[][] borders() {
		return new Object[][] { { MessageLimit.HEAD_BYTES, head(100), head(101) },
				{ MessageLimit.HEAD_LINES, lines(3), lines(4) },
				{ MessageLimit.FRAMING_BYTES, framing(50 + 8), framing(50 + 9) },
				{ MessageLimit.FRAMING_BYTES, trailers(50), trailers(51) },
				{ MessageLimit.PRECEDING_REPLIES, preceding(2), preceding(3) },
				{ MessageLimit.SKIPPED_BYTES, skipped(20), skipped(21) } };
	}

	// Guards against a limit that ends a sound message, or that is not exact.
	@Test(dataProvider = "borders")
	void aMessageOfExactlyTheLimitIsAcceptedAndOneByteMoreExceedsIt(MessageLimit limit, String sound, String large) {
		connect().writeInbound(Unpooled.copiedBuffer(sound, StandardCharsets.ISO_8859_1));
		assertEquals(this.outcomes, List.of("FRAMED"));
		connect().writeInbound(Unpooled.copiedBuffer(large, StandardCharsets.ISO_8859_1));
		assertEquals(this.outcomes, List.of("LIMIT_EXCEEDED " + limit));
	}

	@Test(dataProvider = "borders")
	void theLimitIsTheSameForBytesThatArriveOneByOne(MessageLimit limit, String sound, String large) {
		sendBytewise(sound);
		assertEquals(this.outcomes, List.of("FRAMED"));
		sendBytewise(large);
		assertEquals(this.outcomes, List.of("LIMIT_EXCEEDED " + limit));
	}

	private void sendBytewise(String text) {
		EmbeddedChannel channel = connect();
		for (byte each : text.getBytes(StandardCharsets.ISO_8859_1)) {
			if (channel.isOpen()) {
				channel.writeInbound(Unpooled.wrappedBuffer(new byte[] { each }));
			}
		}
	}

	// Guards against a buffer that keeps all parsed bytes of a stream, since each part
	// ends within a line.
	@Test
	void parsedBytesAreNotKept() {
		ReceiveBuffer buffer = new ReceiveBuffer();
		ByteBuffer target = ByteBuffer.allocate(1_000);
		buffer.add(Unpooled.wrappedBuffer(new byte[1]));
		for (int i = 0; i < 1_000; i++) {
			buffer.add(Unpooled.wrappedBuffer(new byte[1_000]));
			target.clear();
			buffer.read(target);
			buffer.trim();
		}
		assertEquals(buffer.length(), 1);
		assertTrue(buffer.capacity() < 16_000, "capacity " + buffer.capacity());
	}

	// Guards against a sound reply that is discarded for replies without an end.
	@Test
	void theLargestMessagesOfUnknownLengthExceedTheLimitOfAllFirst() {
		HeldBytes held = new HeldBytes(1 << 20);
		List<String> discarded = new ArrayList<>();
		HeldBuffer known = buffer(held, "known", discarded);
		known.markLengthKnown();
		HeldBuffer small = buffer(held, "small", discarded);
		HeldBuffer large = buffer(held, "large", discarded);
		append(known, 256 << 10);
		append(small, 250 << 10);
		append(large, 511 << 10);
		assertEquals(discarded, List.of());
		append(small, 12 << 10);
		assertEquals(discarded, List.of("large HELD_BYTES"));
		append(known, 256 << 10);
		append(known, 256 << 10);
		assertEquals(discarded, List.of("large HELD_BYTES", "known HELD_BYTES"));
		assertEquals(small.take().length, 262 << 10);
		assertEquals(held.total(), 0);
	}

	// Guards against work for one request within that for another one, whose buffer is
	// incomplete meanwhile.
	@Test
	void othersLearnThatTheyWereDiscardedAfterTheAppend() {
		HeldBytes held = new HeldBytes(1 << 20);
		List<Integer> lengths = new ArrayList<>();
		HeldBuffer appending = buffer(held, "appending", new ArrayList<>());
		HeldBuffer large = new HeldBuffer(MessageLimit.REPLY_BYTES, 1 << 20, held,
				(exceeded) -> lengths.add(appending.length()));
		append(large, 600 << 10);
		append(appending, 500 << 10);
		assertEquals(lengths, List.of(500 << 10));
		assertEquals(appending.take().length, 500 << 10);
		assertEquals(held.total(), 0);
	}

	// Guards against a request that is ended by an error in the handling of another one.
	@Test
	void anErrorWhileAnotherIsDiscardedDoesNotEndTheAppend() {
		HeldBytes held = new HeldBytes(1 << 20);
		List<String> discarded = new ArrayList<>();
		HeldBuffer failing = new HeldBuffer(MessageLimit.REPLY_BYTES, 1 << 20, held, (exceeded) -> {
			throw new IllegalStateException("the callback fails");
		});
		HeldBuffer large = buffer(held, "large", discarded);
		HeldBuffer appending = buffer(held, "appending", discarded);
		append(failing, 400 << 10);
		append(large, 390 << 10);
		List<Throwable> errors = new ArrayList<>();
		Thread.UncaughtExceptionHandler handler = Thread.currentThread().getUncaughtExceptionHandler();
		Thread.currentThread().setUncaughtExceptionHandler((thread, error) -> errors.add(error));
		try {
			append(appending, 300 << 10);
			append(appending, 650 << 10);
		}
		finally {
			Thread.currentThread().setUncaughtExceptionHandler(handler);
		}
		assertEquals(errors.size(), 1);
		assertEquals(discarded, List.of("appending HELD_BYTES"));
		assertEquals(held.total(), 390 << 10);
	}

	private static HeldBuffer buffer(HeldBytes held, String name, List<String> discarded) {
		return new HeldBuffer(MessageLimit.REPLY_BYTES, 1 << 20, held,
				(exceeded) -> discarded.add(name + " " + exceeded.limit()));
	}

	private static void append(HeldBuffer buffer, int bytes) {
		buffer.append(new byte[bytes], 0, bytes);
	}

	@Test
	void aBufferOfExactlyTheLimitIsKeptAndOneByteMoreExceedsIt() {
		HeldBytes held = new HeldBytes(Long.MAX_VALUE);
		List<LimitExceeded> exceeded = new ArrayList<>();
		HeldBuffer buffer = new HeldBuffer(MessageLimit.REPLY_BYTES, 100_000, held, exceeded::add);
		append(buffer, 99_999);
		append(buffer, 1);
		assertEquals(exceeded, List.of());
		append(buffer, 1);
		append(buffer, 1);
		assertEquals(exceeded, List.of(new LimitExceeded(MessageLimit.REPLY_BYTES, 100_000, 100_001)));
		assertEquals(held.total(), 0);
	}

	/** Records the limits that were exceeded, too. */
	private static final class LimitListener extends OutcomeListener {

		private LimitListener(List<String> outcomes) {
			super(outcomes);
		}

		@Override
		public void onFailure(CallFailure failure) {
			String limit = failure.exceeded().map((exceeded) -> " " + exceeded.limit()).orElse("");
			record(failure.kind() + limit);
		}

	}

}
