package org.tallycart.http.event;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.tallycart.core.ini.Address;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link UpstreamConnection} without sockets.
 */
public class UpstreamConnectionTests {

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	private final List<String> outcomes = new ArrayList<>();

	private EmbeddedChannel channel = new EmbeddedChannel();

	@BeforeMethod
	void startCall() {
		this.outcomes.clear();
		UpstreamConnection connection = new UpstreamConnection(new ConnectionPool(() -> 0),
				MessageLimits.builder().build(), ConnectionObserver.NONE);
		this.channel = new EmbeddedChannel(connection);
		HttpRequest head = new BasicHttpRequest("GET", "/x");
		connection.start(ClientRequest.builder("p", new Address("127.0.0.1", 1), head).build(),
				new BodyListener(this.outcomes));
	}

	private void receive(String text) {
		this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
	}

	private void endInput() {
		this.channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
		this.channel.runPendingTasks();
	}

	@DataProvider
	static Object[][] ends() {
		return new Object[][] { { OK + "\r\nall", "INPUT_CLOSED all" }, { OK + "\r\n", "INPUT_CLOSED " },
				{ OK + "Content-Length: 3\r\n\r\nal", "CLOSED" },
				{ OK + "Transfer-Encoding: chunked\r\n\r\n3\r\nall\r\n", "CLOSED" }, { OK, "CLOSED" },
				{ "HTTP/1.1 100 Continue\r\n\r\n", "CLOSED" }, { "", "CLOSED" } };
	}

	@Test(dataProvider = "ends")
	void anEndOfInputCompletesOnlyAnUnframedReply(String reply, String outcome) {
		receive(reply);
		endInput();
		assertEquals(this.outcomes, List.of(outcome));
		assertFalse(this.channel.isOpen());
	}

	// Guards against a reply that is taken as complete because this process, or a failed
	// write, closed the connection.
	@Test
	void aConnectionThatIsLostCompletesNoReply() {
		receive(OK + "\r\nhal");
		this.channel.close();
		assertEquals(this.outcomes, List.of("CLOSED"));
	}

	@DataProvider
	static Object[][] writes() {
		return new Object[][] { { true, "INPUT_CLOSED half" }, { false, "CLOSED" } };
	}

	// Guards against part of a reply that is taken as complete, since its connection was
	// reset while the request was written.
	@Test(dataProvider = "writes")
	void anEndOfInputCompletesAReplyOnceTheRequestIsWritten(boolean written, String outcome) {
		List<ChannelPromise> pending = new ArrayList<>();
		UpstreamConnection connection = new UpstreamConnection(new ConnectionPool(() -> 0),
				MessageLimits.builder().build(), ConnectionObserver.NONE);
		this.channel = new EmbeddedChannel(new PendingWrites(pending), connection);
		connection.start(
				ClientRequest.builder("p", new Address("127.0.0.1", 1), new BasicHttpRequest("GET", "/x")).build(),
				new BodyListener(this.outcomes));
		receive(OK + "\r\nhalf");
		endInput();
		assertEquals(this.outcomes, List.of());
		if (written) {
			pending.get(0).setSuccess();
		}
		else {
			pending.get(0).setFailure(new IOException("connection reset"));
		}
		this.channel.runPendingTasks();
		assertEquals(this.outcomes, List.of(outcome));
		assertFalse(this.channel.isOpen());
	}

	// Guards against a call that never ends, since its reply was replaced by that of
	// another call.
	@Test
	void anEndOfInputAfterAnUnframedReplyToAnotherCallFailsTheCall() {
		receive(OK + "Foreign: 1\r\n\r\nall");
		endInput();
		assertEquals(this.outcomes, List.of("CLOSED"));
	}

	@Test
	void bytesThatArriveBetweenCallsCloseTheConnection() {
		receive(OK + "Content-Length: 3\r\n\r\nall");
		assertEquals(this.outcomes, List.of("FRAMED all"));
		receive(OK);
		assertFalse(this.channel.isOpen());
	}

	// Guards against a sound idle connection that is closed to make room for one that was
	// closed already.
	@Test
	void aConnectionThatIsDiscardedWithinItsLastPartIsNotReleased() {
		ConnectionPool pool = new ConnectionPool(() -> 0);
		List<EmbeddedChannel> idle = new ArrayList<>();
		for (int i = 0; i < ConnectionPool.MAX_IDLE; i++) {
			EmbeddedChannel each = connect(pool, new BodyListener(this.outcomes));
			each.writeInbound(reply());
			idle.add(each);
		}
		assertTrue(idle.get(0).isOpen());
		BodyListener cancelling = new BodyListener(this.outcomes);
		EmbeddedChannel discarded = connect(pool, cancelling);
		cancelling.onPart = () -> discarded.pipeline().get(UpstreamConnection.class).discard();
		discarded.writeInbound(reply());
		assertFalse(discarded.isOpen());
		assertTrue(idle.get(0).isOpen());
		assertEquals(this.outcomes.size(), idle.size());
	}

	private static EmbeddedChannel connect(ConnectionPool pool, BodyListener listener) {
		UpstreamConnection connection = new UpstreamConnection(pool, MessageLimits.builder().build(),
				ConnectionObserver.NONE);
		EmbeddedChannel channel = new EmbeddedChannel(connection);
		connection.start(
				ClientRequest.builder("p", new Address("127.0.0.1", 1), new BasicHttpRequest("GET", "/x")).build(),
				listener);
		return channel;
	}

	private static ByteBuf reply() {
		return Unpooled.copiedBuffer(OK + "Content-Length: 3\r\n\r\nall", StandardCharsets.ISO_8859_1);
	}

	/** Records the bodies of complete replies, too. */
	private static final class BodyListener extends OutcomeListener {

		private final StringBuilder body = new StringBuilder();

		private Runnable onPart = () -> {
		};

		private BodyListener(List<String> outcomes) {
			super(outcomes);
		}

		@Override
		public void onBody(byte[] part) {
			this.body.append(new String(part, StandardCharsets.ISO_8859_1));
			this.onPart.run();
		}

		@Override
		public void onEnd(ReplyEnd end) {
			record(end + " " + this.body);
		}

	}

	/** Keeps writes pending. */
	private static final class PendingWrites extends ChannelOutboundHandlerAdapter {

		private final List<ChannelPromise> pending;

		private PendingWrites(List<ChannelPromise> pending) {
			this.pending = pending;
		}

		@Override
		public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
			ReferenceCountUtil.release(message);
			this.pending.add(promise);
		}

	}

}
