package org.tallycart.http.event;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.tallycart.core.ini.Address;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for replies to earlier calls that arrive late, on real sockets.
 */
public class LateReplyTests {

	private static final int CALLS = 6;

	private static final int WAIT_MS = 10_000;

	private static final int PAUSE_MS = 50;

	private EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	@BeforeMethod
	void start() {
		this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
	}

	@AfterMethod
	void stop() throws InterruptedException {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(WAIT_MS);
	}

	/** When the reply to the call before is sent once more. */
	private enum Moment {

		/** Right after the first time. */
		BEFORE_THE_NEXT_CALL,
		/** Once the next call has arrived, before its reply. */
		BEFORE_THE_NEXT_REPLY,
		/** Together with the next reply, after it. */
		AFTER_THE_NEXT_REPLY

	}

	@DataProvider
	static Object[][] moments() {
		return new Object[][] { { Moment.BEFORE_THE_NEXT_CALL }, { Moment.BEFORE_THE_NEXT_REPLY },
				{ Moment.AFTER_THE_NEXT_REPLY } };
	}

	// Guards against a late reply to an earlier call that is taken for the reply to the
	// next one on the same connection.
	@Test(dataProvider = "moments")
	void aCallGetsItsOwnReply(Moment moment) throws Exception {
		try (ServerSocket upstream = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
			Thread accepting = new Thread(() -> accept(upstream, moment));
			accepting.setDaemon(true);
			accepting.start();
			HttpClient client = HttpClient.create(this.group, () -> System.nanoTime() / 1_000_000,
					new ReceiveLimits(MessageLimits.builder().build(), new HeldBytes(1 << 20)));
			for (int number = 0; number < CALLS; number++) {
				String outcome = call(client, upstream.getLocalPort(), number);
				// Bytes that arrive between calls may break the connection of the next
				// one.
				if (moment == Moment.BEFORE_THE_NEXT_REPLY || !outcome.equals("CLOSED")) {
					assertEquals(outcome, "body of call " + number);
				}
			}
		}
	}

	private String call(HttpClient client, int port, int number) throws InterruptedException {
		HttpRequest head = new BasicHttpRequest("GET", "/x");
		head.setHeader("Call", String.valueOf(number));
		ClientRequest request = ClientRequest.builder("p", new Address("127.0.0.1", port), head)
			.replyCheck((reply) -> reply.containsHeader("Call")
					&& reply.getFirstHeader("Call").getValue().equals(String.valueOf(number)))
			.build();
		BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
		this.group.execute(() -> FullReplyCall.start(client, this.group.next(), request, WAIT_MS,
				(outcome) -> outcomes.add(outcome.fold((failure) -> failure.kind().toString(),
						(reply) -> new String(reply.body(), StandardCharsets.UTF_8)))));
		return String.valueOf(outcomes.poll(WAIT_MS, TimeUnit.MILLISECONDS));
	}

	private static void accept(ServerSocket upstream, Moment moment) {
		while (!upstream.isClosed()) {
			try {
				Socket accepted = upstream.accept();
				Thread serving = new Thread(() -> serve(accepted, moment));
				serving.setDaemon(true);
				serving.start();
			}
			catch (IOException ex) {
				// The test has ended.
			}
		}
	}

	private static void serve(Socket accepted, Moment moment) {
		try (Socket socket = accepted) {
			OutputStream out = socket.getOutputStream();
			String before = "";
			while (true) {
				String request = readHead(socket);
				if (request.isEmpty()) {
					return;
				}
				String number = request.replaceAll("(?s).*Call: (\\d+).*", "$1");
				String body = "body of call " + number;
				String reply = "HTTP/1.1 200 OK\r\nCall: " + number + "\r\nContent-Length: " + body.length()
						+ "\r\n\r\n" + body;
				String sent = switch (moment) {
					case BEFORE_THE_NEXT_CALL -> reply;
					case BEFORE_THE_NEXT_REPLY -> before + reply;
					case AFTER_THE_NEXT_REPLY -> reply + before;
				};
				out.write(sent.getBytes(StandardCharsets.ISO_8859_1));
				if (moment == Moment.BEFORE_THE_NEXT_CALL) {
					Thread.sleep(PAUSE_MS);
					out.write(reply.getBytes(StandardCharsets.ISO_8859_1));
				}
				before = reply;
			}
		}
		catch (IOException | InterruptedException ex) {
			// The client has closed the connection.
		}
	}

	private static String readHead(Socket socket) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = socket.getInputStream().read();
			if (next < 0) {
				return "";
			}
			head.append((char) next);
		}
		return head.toString();
	}

}
