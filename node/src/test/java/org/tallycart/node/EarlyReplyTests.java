package org.tallycart.node;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.stream.Stream;

import org.tallycart.platform.standin.UpstreamStandin;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for replies that arrive while the body of their request is still being written,
 * on real sockets.
 */
public class EarlyReplyTests extends AbstractNodeTests {

	/** More than the buffers of two sockets hold. */
	private static final int BODY_BYTES = 24 << 20;

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private static final String REPLY = "HTTP/1.1 200 OK\r\nX-Tallycart-Response-Stamp: s\r\n"
			+ "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: part\n\n";

	private static final int RUNS = 10;

	private final RawUpstream upstream = RawUpstream.start(this::serve);

	private volatile End end = End.RESET;

	private volatile int delayMs;

	/** How the upstream ends its reply. */
	private enum End {

		/** The connection is reset. */
		RESET,
		/** The connection is closed with bytes unread, which resets it. */
		CLOSED_UNREAD,
		/** The output is closed in order, and the connection is reset later. */
		HALF_CLOSED_AND_RESET,
		/** The output is closed in order, and the request is read to its end. */
		HALF_CLOSED_AND_READ

	}

	@Override
	int vms() {
		return 1;
	}

	@Override
	String config() {
		return CONFIG.replace("100000", "30000000");
	}

	@Override
	void addUpstream(String service, String id) {
		UpstreamStandin standin = UpstreamStandin.start(id, this.group);
		this.upstreams.put(id, standin);
		standin.advertise(this.upstream.address());
		this.store.put("servers", id, standin.entry(service, "d", "ready"));
	}

	@AfterClass
	void closeUpstream() {
		this.upstream.close();
	}

	private void serve(Socket vm) throws IOException {
		if (vm.getInputStream().read(new byte[1 << 10]) > 0) {
			vm.getOutputStream().write(REPLY.getBytes(StandardCharsets.ISO_8859_1));
			end(vm);
		}
	}

	private void end(Socket vm) throws IOException {
		switch (this.end) {
			case RESET -> {
				pause(this.delayMs);
				vm.setSoLinger(true, 0);
			}
			case CLOSED_UNREAD -> pause(this.delayMs);
			case HALF_CLOSED_AND_RESET -> {
				vm.shutdownOutput();
				pause(this.delayMs);
				vm.setSoLinger(true, 0);
			}
			case HALF_CLOSED_AND_READ -> {
				vm.shutdownOutput();
				byte[] part = new byte[1 << 16];
				while (vm.getInputStream().read(part) >= 0) {
					// The rest of the request is not used.
				}
			}
		}
	}

	private String upload(String path, String headers) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.nodes.get(0).callersPort())) {
			socket.setSoTimeout(WAIT_MS);
			OutputStream out = socket.getOutputStream();
			out.write(("POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Tallycart-Request-Id: r\r\n"
					+ "X-Tallycart-Deadline-Ms: 5000\r\nConnection: close\r\n" + headers + "Content-Length: "
					+ BODY_BYTES + "\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			out.write(new byte[BODY_BYTES]);
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
	}

	@DataProvider
	static Object[][] resets() {
		return Stream.of(End.RESET, End.CLOSED_UNREAD, End.HALF_CLOSED_AND_RESET)
			.flatMap((end) -> Stream.of(0, 5, 25).map((delayMs) -> new Object[] { end, delayMs }))
			.toArray(Object[][]::new);
	}

	// Guards against part of a reply that callers get as a whole one, since its end could
	// not be told from the reset of its connection while a request was written.
	@Test(dataProvider = "resets")
	void aReplyThatIsResetWhileItsRequestIsWrittenIsNotWhole(End end, int delayMs) throws IOException {
		this.end = end;
		this.delayMs = delayMs;
		for (int i = 0; i < RUNS; i++) {
			String plain = upload("/once/x", KEY);
			assertTrue(plain.startsWith("HTTP/1.1 502"), plain);
			String stream = upload("/fragile/x", GENERATION);
			assertFalse(stream.startsWith("HTTP/1.1 200") && stream.endsWith(LAST_CHUNK), stream);
		}
	}

	// Guards against a whole reply that is withheld since it came early.
	@Test
	void aReplyThatEndsInOrderBeforeItsRequestIsWrittenIsWhole() throws IOException {
		this.end = End.HALF_CLOSED_AND_READ;
		String plain = upload("/once/x", KEY);
		assertTrue(plain.startsWith("HTTP/1.1 200"), plain);
		assertTrue(plain.endsWith("id: 1\ndata: part\n\n"), plain);
		assertEquals(Arrays.stream(upload("/fragile/x", GENERATION).split("\r\n")).filter("0"::equals).count(), 1);
	}

}
