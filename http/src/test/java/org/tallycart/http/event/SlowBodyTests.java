package org.tallycart.http.event;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for callers that send a body slowly, in virtual time.
 */
public class SlowBodyTests {

	private static final long STEP_MS = 1_000;

	private final List<Responder> handled = new ArrayList<>();

	private final List<String> refused = new ArrayList<>();

	private EmbeddedChannel channel = new EmbeddedChannel();

	@BeforeMethod
	void connect() {
		this.handled.clear();
		this.refused.clear();
		this.channel = new EmbeddedChannel();
		this.channel.freezeTime();
		this.channel.pipeline().addLast(new CallerConnection(new Handler(), new ConnectionRegistry()));
		this.channel.pipeline().fireChannelActive();
	}

	@AfterMethod
	void close() {
		this.channel.close();
	}

	private void receive(String text) {
		this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
	}

	private void run(long ms) {
		this.channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
		this.channel.runPendingTasks();
	}

	private String sent() {
		StringBuilder text = new StringBuilder();
		ByteBuf next = this.channel.readOutbound();
		while (next != null) {
			text.append(next.toString(StandardCharsets.ISO_8859_1));
			next.release();
			next = this.channel.readOutbound();
		}
		return text.toString();
	}

	@DataProvider
	static Object[][] framings() {
		return new Object[][] { { "Content-Length: 1000", "x" }, { "Transfer-Encoding: chunked", "1\r\nx\r\n" } };
	}

	// Guards against a request that holds its connection for ever, since its body comes
	// byte by byte.
	@Test(dataProvider = "framings")
	void aBodyThatTakesTooLongIsRefused(String framing, String part) {
		receive("POST /a HTTP/1.1\r\n" + framing + "\r\n\r\n");
		for (long ms = 0; ms < CallerConnection.BODY_TIMEOUT_MS; ms += STEP_MS) {
			assertEquals(this.refused, List.of());
			receive(part);
			run(STEP_MS);
		}
		assertEquals(this.refused, List.of("408 body timed out"));
		assertTrue(sent().startsWith("HTTP/1.1 408"));
		receive(part);
		run(STEP_MS);
		assertFalse(this.channel.isOpen());
		assertEquals(this.handled.size(), 0);
	}

	@Test
	void aBodyThatIsCompleteInTimeIsHandledForAsLongAsItTakes() {
		receive("POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nx");
		run(CallerConnection.BODY_TIMEOUT_MS - 1);
		receive("x");
		assertEquals(this.handled.size(), 1);
		run(2 * CallerConnection.BODY_TIMEOUT_MS);
		this.handled.get(0).send(new BasicHttpResponse(200), new byte[0]);
		assertTrue(sent().startsWith("HTTP/1.1 200"));
		receive("GET /b HTTP/1.1\r\n\r\n");
		assertEquals(this.handled.size(), 2);
		assertEquals(this.refused, List.of());
	}

	/** Keeps responders, and answers no request itself. */
	private final class Handler implements RequestHandler {

		@Override
		public void onRequest(HttpRequest head, byte[] body, Responder responder) {
			SlowBodyTests.this.handled.add(responder);
		}

		@Override
		public void onRefused(int status, String reason) {
			SlowBodyTests.this.refused.add(status + " " + reason);
		}

		@Override
		public RequestLimits limits() {
			return new RequestLimits(2_000, 3_000, 300, 600_000);
		}

	}

}
