package org.tallycart.http;

import java.io.IOException;
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
import static org.testng.Assert.assertTrue;

/**
 * Tests for bytes that are no reply to a blocking call, on real sockets.
 */
public class MalformedBlockingReplyTests {

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	private static final String EMPTY = "Content-Length: 0\r\n\r\n";

	private static final long TIMEOUT_MS = 10_000;

	private static Either<HttpFailure, HttpReply> call(String sent) throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			Thread peer = new Thread(() -> send(server, sent));
			peer.start();
			HttpConnection connection = HttpConnection
				.connect(new Address("127.0.0.1", server.getLocalPort()), TIMEOUT_MS)
				.get();
			Either<HttpFailure, HttpReply> reply = connection.call(HttpCall.get("/x").build(), TIMEOUT_MS);
			connection.close();
			peer.join(TIMEOUT_MS);
			assertFalse(peer.isAlive());
			return reply;
		}
	}

	private static void send(ServerSocket server, String text) {
		try (Socket caller = server.accept()) {
			caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
			caller.shutdownOutput();
			caller.getInputStream().readAllBytes();
		}
		catch (IOException ex) {
			// The caller has closed the connection.
		}
	}

	@DataProvider
	static Object[][] malformed() {
		return new Object[][] { { OK + "X Y: 1\r\n" + EMPTY }, { OK + " X: 1\r\n" + EMPTY },
				{ OK + "X\u0001Y: 1\r\n" + EMPTY }, { OK + "X(Y: 1\r\n" + EMPTY }, { OK + "X: a\u0000b\r\n" + EMPTY },
				{ "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + OK + EMPTY },
				{ OK + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n-1\r\nab\r\n0\r\n\r\n" } };
	}

	// Guards against bytes that are no reply and are taken for an answer.
	@Test(dataProvider = "malformed")
	void aMalformedReplyIsBroken(String sent) throws Exception {
		assertEquals(call(sent).getLeft().kind(), HttpFailure.Kind.BROKEN);
	}

	@DataProvider
	static Object[][] statusLines() {
		return new Object[][] { { "HTTP/1.1 000 OK" }, { "HTTP/1.1 999 OK" }, { "HTTP/2.0 200 OK" },
				{ "HTTP/1.1 200 O\u0000K" } };
	}

	// Guards against a status such as 000 that ends the call by an error of the library.
	@Test(dataProvider = "statusLines")
	void aReplyWithAMalformedStatusLineIsBroken(String line) throws Exception {
		assertEquals(call(line + "\r\n" + EMPTY).getLeft().kind(), HttpFailure.Kind.BROKEN);
	}

	// Guards against a reply that is cut within its head and taken for a whole one with
	// an
	// empty body.
	@Test
	void aReplyThatIsCutWithinItsHeadIsBroken() throws Exception {
		String head = OK + "X: 1\r\nContent-Length: 0\r\n\r\n";
		for (int length = 0; length < head.length(); length++) {
			Either<HttpFailure, HttpReply> reply = call(head.substring(0, length));
			assertTrue(reply.isLeft(), "cut after " + length + " bytes");
			assertEquals(reply.getLeft().kind(), HttpFailure.Kind.BROKEN);
		}
		assertEquals(call(head).get().status(), 200);
	}

}
