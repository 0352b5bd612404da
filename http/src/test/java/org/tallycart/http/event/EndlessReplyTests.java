package org.tallycart.http.event;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.tallycart.core.ini.Address;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for replies that have no end, without sockets.
 */
public class EndlessReplyTests {

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

	/** Bytes after which an endless reply must have been closed. */
	private static final int MAX_SENT_BYTES = 8 << 20;

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

	@DataProvider
	static Object[][] endless() {
		String kilobyte = "x".repeat(1_024);
		return new Object[][] { { "head", OK, "F: " + kilobyte + "\r\n" },
				{ "informational heads", "", "HTTP/1.1 102 Processing\r\n\r\n" },
				{ "chunk extensions", CHUNKED, "1;e=" + kilobyte + "\r\nx\r\n" },
				{ "trailers", CHUNKED + "0\r\n", "T: " + kilobyte + "\r\n" },
				{ "body of a reply to another call", OK + "Foreign: 1\r\n\r\n", kilobyte },
				{ "replies to other calls", "", OK + "Foreign: 1\r\nContent-Length: 0\r\n\r\n" } };
	}

	// Guards against bytes that are no answer and are read until the call times out.
	@Test(dataProvider = "endless")
	void anEndlessReplyExceedsALimitAndClosesItsConnection(String name, String begin, String repeated) {
		receive(begin);
		int sent = 0;
		while (this.channel.isOpen() && sent < MAX_SENT_BYTES) {
			receive(repeated);
			sent += repeated.length();
		}
		assertFalse(this.channel.isOpen(), name + " of " + sent + " bytes");
		assertEquals(this.outcomes, List.of("LIMIT_EXCEEDED"));
		assertTrue(sent < MAX_SENT_BYTES, name);
	}

}
