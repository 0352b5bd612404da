package org.tallycart.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import io.vavr.control.Either;
import org.tallycart.core.ini.Address;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

/**
 * Tests for replies to blocking calls that have no end, on real sockets.
 */
public class EndlessBlockingReplyTests {

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	private static final long TIMEOUT_MS = 10_000;

	/** Bytes after which a reply that should have been closed ends. */
	private static final int MAX_SENT_BYTES = 64 << 20;

	@DataProvider
	static Object[][] endless() {
		String kilobyte = "x".repeat(1_024);
		return new Object[][] { { "", "HTTP/1.1 102 Processing\r\n\r\n".repeat(100) },
				{ OK, ("F: " + kilobyte + "\r\n") }, { OK + "F: ", kilobyte }, { OK + "\r\n", kilobyte },
				{ OK + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "T: " + kilobyte + "\r\n" } };
	}

	// Guards against a thread that reads bytes that are no answer until they end.
	@Test(dataProvider = "endless")
	void anEndlessReplyExceedsALimit(String begin, String repeated) throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			Thread peer = new Thread(() -> send(server, begin, repeated));
			peer.start();
			HttpConnection connection = HttpConnection
				.connect(new Address("127.0.0.1", server.getLocalPort()), TIMEOUT_MS)
				.get();
			Either<HttpFailure, HttpReply> reply = connection.call(HttpCall.get("/x").build(), TIMEOUT_MS);
			assertEquals(reply.getLeft().kind(), HttpFailure.Kind.TOO_LARGE);
			assertFalse(connection.isReusable());
			peer.join(TIMEOUT_MS);
			assertFalse(peer.isAlive());
		}
	}

	@Test
	void anEndlessLineExceedsALimit() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			Thread peer = new Thread(() -> send(server, OK + "\r\na\r\nb\nc\r\r", "x".repeat(1_024)));
			peer.start();
			HttpConnection connection = HttpConnection
				.connect(new Address("127.0.0.1", server.getLocalPort()), TIMEOUT_MS)
				.get();
			StreamedReply reply = connection.callStreaming(HttpCall.get("/x").build(), TIMEOUT_MS).get();
			for (String line : new String[] { "a", "b", "c", "" }) {
				assertEquals(reply.nextLine(TIMEOUT_MS).get().orElseThrow(), line);
			}
			assertEquals(reply.nextLine(TIMEOUT_MS).getLeft().kind(), HttpFailure.Kind.TOO_LARGE);
			peer.join(TIMEOUT_MS);
			assertFalse(peer.isAlive());
		}
	}

	private static void send(ServerSocket server, String begin, String repeated) {
		try (Socket caller = server.accept()) {
			OutputStream out = caller.getOutputStream();
			out.write(begin.getBytes(StandardCharsets.ISO_8859_1));
			byte[] part = repeated.getBytes(StandardCharsets.ISO_8859_1);
			for (int sent = 0; sent < MAX_SENT_BYTES; sent += part.length) {
				out.write(part);
			}
		}
		catch (IOException ex) {
			// The caller has closed the connection.
		}
	}

}
