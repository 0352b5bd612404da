package org.tallycart.node;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.tallycart.core.serving.NodeSettings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for requests that are read while their VM stops, on real sockets.
 */
public class StoppingVmTests extends AbstractNodeTests {

	/** Time since the stop at which a VM still takes requests, in milliseconds. */
	private static final long EARLY_MS = 1_500;

	/** Time since the stop from which a VM accepts no connections, in milliseconds. */
	private static final long LATE_MS = 3_000;

	/** More than what is left of the grace time then, for the four events of a stream. */
	private static final int EVENT_INTERVAL_MS = 2_000;

	@Override
	int vms() {
		return 1;
	}

	@Override
	NodeSettings.PlatformLimits limits() {
		return new NodeSettings.PlatformLimits(8_000, 0.2, 10_000, 50);
	}

	@DataProvider
	static Object[][] paths() {
		return new Object[][] { { "/fragile/x", GENERATION, "503", 0 }, { "/stream/x", GENERATION, "503", 0 },
				{ "/long/x", KEY, "503", 0 }, { "/once/x", KEY, "200", 1 }, { "/plain/x", KEY, "200", 1 } };
	}

	// Guards against requests that come late in a graceful stop, are passed on, and are
	// cut at its end; those that end before are served.
	@Test(dataProvider = "paths")
	void aRequestThatIsReadLateInAStopIsRefusedUnlessItEndsBefore(String path, String headers, String status, int runs)
			throws IOException {
		this.upstreams.values().forEach((upstream) -> upstream.setEventIntervalMs(EVENT_INTERVAL_MS));
		Node node = this.nodes.get(0);
		String head = "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Tallycart-Request-Id: r\r\n"
				+ "X-Tallycart-Deadline-Ms: 9000\r\n" + headers + "\r\n";
		// The VM does not stop before this stream has ended.
		Thread other = new Thread(() -> request(node, "/fragile/x", "other", GENERATION));
		other.setDaemon(true);
		other.start();
		await(() -> runs("other") == 1);
		node.drain();
		pause(EARLY_MS);
		try (Socket socket = new Socket("127.0.0.1", node.callersPort())) {
			socket.setSoTimeout(WAIT_MS);
			write(socket, head.substring(0, 30));
			pause(LATE_MS - EARLY_MS);
			write(socket, head.substring(30));
			String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			assertTrue(response.startsWith("HTTP/1.1 " + status), response);
			assertEquals(response.contains("Retry-After"), runs == 0, response);
			assertEquals(runs("r"), runs);
		}
	}

	private static void write(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	@Test
	void aRequestThatIsReadEarlyInAStopIsServed() {
		Node node = this.nodes.get(0);
		node.drain();
		pause(EARLY_MS);
		assertTrue(request(node, "/once/x", "r", KEY).startsWith("HTTP/1.1 200"));
	}

}
