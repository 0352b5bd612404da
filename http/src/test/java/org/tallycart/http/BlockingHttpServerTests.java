package org.tallycart.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.tallycart.core.ini.Address;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link BlockingHttpServer}, on real sockets.
 */
public class BlockingHttpServerTests {

	private static final int TIMEOUT_MS = 10_000;

	/** Bytes after which a head that has no end must have been refused. */
	private static final int MAX_SENT_BYTES = 64 << 20;

	// Guards against a request that is cut within its head and handled without its body.
	@Test
	void aRequestThatIsCutWithinItsHeadIsNotHandled() throws Exception {
		Queue<String> handled = new ConcurrentLinkedQueue<>();
		BlockingHttpServer server = BlockingHttpServer
			.start(new Address("127.0.0.1", 0), "test", 4,
					(request, response, context) -> handled.add(request.getPath()))
			.get();
		String head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
		for (int length = 0; length < head.length(); length++) {
			send(server, head.substring(0, length));
		}
		assertEquals(handled.size(), 0, "cut requests");
		assertTrue(send(server, head).startsWith("HTTP/1.1 200"));
		server.close();
	}

	@DataProvider
	static Object[][] endless() {
		String kilobyte = "x".repeat(1_024);
		return new Object[][] { { "", kilobyte }, { "GET /a HTTP/1.1\r\nF: ", kilobyte },
				{ "GET /a HTTP/1.1\r\n", "F: " + kilobyte + "\r\n" } };
	}

	// Guards against a process that runs out of memory, since it keeps a head without an
	// end.
	@Test(dataProvider = "endless")
	void anEndlessHeadClosesItsConnection(String begin, String repeated) throws Exception {
		BlockingHttpServer server = BlockingHttpServer
			.start(new Address("127.0.0.1", 0), "test", 4, (request, response, context) -> {
			})
			.get();
		try (Socket socket = new Socket("127.0.0.1", server.port())) {
			socket.getOutputStream().write(begin.getBytes(StandardCharsets.ISO_8859_1));
			assertThrows(IOException.class, () -> {
				for (int sent = 0; sent < MAX_SENT_BYTES; sent += repeated.length()) {
					socket.getOutputStream().write(repeated.getBytes(StandardCharsets.ISO_8859_1));
				}
			});
		}
		server.close();
	}

	private static String send(BlockingHttpServer server, String text) throws Exception {
		try (Socket socket = new Socket("127.0.0.1", server.port())) {
			socket.setSoTimeout(TIMEOUT_MS);
			socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
			socket.shutdownOutput();
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
	}

}
