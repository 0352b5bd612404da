package org.tallycart.http.event;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.tallycart.core.ini.Address;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

/**
 * Tests for bytes of upstreams that are no reply, without sockets.
 */
public class MalformedReplyTests {

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	private static final String EMPTY = "Content-Length: 0\r\n\r\n";

	private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

	private static final String DELIMITERS = "\"(),/:;<=>?@[\\]{}";

	private final List<String> outcomes = new ArrayList<>();

	private EmbeddedChannel channel = new EmbeddedChannel();

	@BeforeMethod
	void startCall() {
		this.outcomes.clear();
		UpstreamConnection connection = new UpstreamConnection(new ConnectionPool(() -> 0),
				MessageLimits.builder().build(), ConnectionObserver.NONE);
		this.channel = new EmbeddedChannel(connection);
		connection.start(
				ClientRequest.builder("p", new Address("127.0.0.1", 1), new BasicHttpRequest("GET", "/x")).build(),
				new OutcomeListener(this.outcomes));
	}

	private void receive(String text) {
		this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
	}

	private static IntStream controls() {
		return IntStream.concat(IntStream.range(0, 32).filter((c) -> c != '\t' && c != '\n'), IntStream.of(127));
	}

	@DataProvider
	static Object[][] names() {
		Stream<String> controls = controls().filter((c) -> c != '\r').mapToObj((c) -> "X" + (char) c + "Y");
		Stream<String> delimiters = DELIMITERS.chars().filter((c) -> c != ':').mapToObj((c) -> "X" + (char) c + "Y");
		Stream<String> others = Stream.of("X Y", "X\tY", " X", "\tX", "X ", "", "X\u00e9", "X\rY");
		return Stream.of(controls, delimiters, others)
			.flatMap((each) -> each)
			.map((name) -> new Object[] { name })
			.toArray(Object[][]::new);
	}

	// Guards against a reply with a blank, a control byte or a delimiter in the name of a
	// field that is taken for an answer, with that line passed on.
	@Test(dataProvider = "names")
	void aReplyWithAMalformedNameOfAFieldIsMalformed(String name) {
		receive(OK + name + ": 1\r\n" + EMPTY);
		assertEquals(this.outcomes, List.of("MALFORMED"));
		assertFalse(this.channel.isOpen());
	}

	@Test(dataProvider = "names")
	void aMalformedNameOfAFieldIsFoundInInformationalHeadsAndTrailers(String name) {
		receive("HTTP/1.1 103 Early Hints\r\n" + name + ": 1\r\n\r\n" + OK + EMPTY);
		assertEquals(this.outcomes, List.of("MALFORMED"));
		startCall();
		receive(CHUNKED + "1\r\na\r\n0\r\n" + name + ": 1\r\n\r\n");
		assertEquals(this.outcomes, List.of("MALFORMED"));
	}

	@DataProvider
	static Object[][] controlBytes() {
		return controls().mapToObj((c) -> new Object[] { c }).toArray(Object[][]::new);
	}

	// Guards against control bytes in a value, which other readers may take for the end
	// of a line.
	@Test(dataProvider = "controlBytes")
	void aReplyWithAControlByteInAValueIsMalformed(int control) {
		receive(OK + "X: a" + (char) control + "b\r\n" + EMPTY);
		assertEquals(this.outcomes, List.of("MALFORMED"));
	}

	@DataProvider
	static Object[][] sound() {
		return new Object[][] { { OK + EMPTY }, { "HTTP/1.0 200\r\n" + EMPTY }, { "HTTP/1.1 200 \r\n" + EMPTY },
				{ "HTTP/1.1 599 R\u00e9ponse\tx\r\n" + EMPTY }, { OK + "X:\r\n" + EMPTY },
				{ OK + "!#$%&'*+-.^_`|~09az: \t a\tb\u00e9 \r\n" + EMPTY }, { OK + "X: a\r\n b\r\n" + EMPTY },
				{ "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + OK + EMPTY },
				{ CHUNKED + "1\r\na\r\n0\r\nT: 1\r\n\r\n" },
				{ CHUNKED + "0A ;e=1\r\n0123456789\r\n00\r\n-T: 1\r\n\r\n" }, { OK + "X: 1\n" + EMPTY } };
	}

	@Test(dataProvider = "sound")
	void aSoundReplyIsTaken(String reply) {
		receive(reply);
		assertEquals(this.outcomes, List.of("FRAMED"));
	}

	@DataProvider
	static Object[][] statusLines() {
		return Stream
			.of("HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 00 OK",
					"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 2x0 OK",
					"HTTP/1.1 200OK", "HTTP/1.1  200 OK", " HTTP/1.1 200 OK", "HTTP/1.1\t200 OK", "HTTP/2.0 200 OK",
					"HTTP/0.9 200 OK", "HTTP/1.1x 200 OK", "HTTP/11 200 OK", "HTTP/1.1 200 O\u0000K",
					"HTTP/1.1 200 O\rK", "HTTP/1.1 200 \u007f", "HTTP/1.1 ", "HTTP/1.1")
			.map((line) -> new Object[] { line })
			.toArray(Object[][]::new);
	}

	// Guards against a status such as 000 that is taken for an answer, or that ends the
	// call by an error of the library.
	@Test(dataProvider = "statusLines")
	void aReplyWithAMalformedStatusLineIsMalformed(String line) {
		receive(line + "\r\n" + EMPTY);
		assertEquals(this.outcomes, List.of("MALFORMED"));
		assertFalse(this.channel.isOpen());
	}

	@DataProvider
	static Object[][] chunkSizes() {
		return new Object[][] { { "-1" }, { "-2" }, { "+2" }, { " 2" }, { "2 2" }, { "0x2" }, { "" }, { "x" },
				{ "80000000000000000" }, { "-8000000000000000" } };
	}

	// Guards against a negative size of a chunk, with which content is read as a size.
	@Test(dataProvider = "chunkSizes")
	void aReplyWithAMalformedSizeOfAChunkIsMalformed(String size) {
		receive(CHUNKED + "1\r\na\r\n" + size + "\r\nab\r\n0\r\n\r\n");
		assertEquals(this.outcomes, List.of("MALFORMED"));
	}

	// Guards against a reply that is cut within its head and taken for a whole one.
	@Test
	void aReplyThatIsCutWithinItsHeadIsNoReply() {
		String head = OK + "X: 1\r\nContent-Length: 0\r\n\r\n";
		for (int length = 0; length < head.length(); length++) {
			startCall();
			receive(head.substring(0, length));
			this.channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
			this.channel.runPendingTasks();
			assertEquals(this.outcomes, List.of("CLOSED"), "cut after " + length + " bytes");
		}
	}

}
