package org.tallycart.node;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.tallycart.core.ini.Address;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Tests for requests whose handling fails unexpectedly after they were sent, on real
 * sockets.
 */
public class FailedHandlingTests extends AbstractNodeTests {

	/** A status that can't be passed on, since no response may have it. */
	private static final String REPLY = "HTTP/1.1 999 X\r\nX-Tallycart-Response-Stamp: s\r\nContent-Length: 0\r\n\r\n";

	@Override
	int vms() {
		return 1;
	}

	private static void replyToAll(ServerSocket server) {
		while (!server.isClosed()) {
			try (Socket socket = server.accept()) {
				socket.getInputStream().read();
				socket.getOutputStream().write(REPLY.getBytes(StandardCharsets.ISO_8859_1));
				socket.getOutputStream().flush();
				socket.getInputStream().read(new byte[4096]);
			}
			catch (IOException ex) {
				// The test has ended, or a probe has closed its connection.
			}
		}
	}

	// Guards against a caller that hears nothing until its deadline, since the reply to
	// its request can't be passed on.
	@Test
	void aRequestWhoseReplyCannotBePassedOnIsAnsweredAtOnce() throws IOException {
		try (ServerSocket server = new ServerSocket(0)) {
			Thread upstream = new Thread(() -> replyToAll(server));
			upstream.start();
			this.upstreams.get("i-plain0").advertise(new Address("127.0.0.1", server.getLocalPort()));
			this.store.remove("servers", "i-plain1");
			this.store.put("servers", "i-plain0", this.upstreams.get("i-plain0").entry("plain", "d", "ready"));
			await(() -> metrics(this.nodes.get(0)).contains("upstreams 5.0"));
			await(() -> request(this.nodes.get(0), "/once/x", "r1", KEY).startsWith("HTTP/1.1 502"));
			assertTrue(metrics(this.nodes.get(0)).contains("requests_ended_declined_502"));
		}
	}

}
