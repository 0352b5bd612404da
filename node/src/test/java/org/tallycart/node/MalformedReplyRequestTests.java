package org.tallycart.node;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.tallycart.platform.standin.UpstreamStandin;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of what callers get when upstreams send bytes that are no reply, on real sockets.
 */
public class MalformedReplyRequestTests extends AbstractNodeTests {

	private static final String BODY = "body of the upstream";

	private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Tallycart-Response-Stamp: s\r\n";

	private static final String REST = "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY;

	private final RawUpstream upstream = RawUpstream.start(this::serve);

	private volatile String reply = "";

	@Override
	int vms() {
		return 1;
	}

	@Override
	void addUpstream(String service, String id) {
		UpstreamStandin standin = UpstreamStandin.start(id, this.group);
		this.upstreams.put(id, standin);
		if (service.equals("plain")) {
			standin.advertise(this.upstream.address());
		}
		this.store.put("servers", id, standin.entry(service, "d", "ready"));
	}

	private void serve(Socket vm) throws IOException {
		if (vm.getInputStream().read(new byte[1 << 16]) > 0) {
			vm.getOutputStream().write(this.reply.getBytes(StandardCharsets.ISO_8859_1));
			vm.shutdownOutput();
			vm.getInputStream().readAllBytes();
		}
	}

	@AfterClass
	void closeUpstream() {
		this.upstream.close();
	}

	@AfterMethod
	void clearReply() {
		this.reply = "";
	}

	@DataProvider
	static Object[][] malformed() {
		return new Object[][] { { HEAD + "X Y: 1\r\n" + REST }, { HEAD + "X\u0001Y: 1\r\n" + REST },
				{ "HTTP/1.1 200 OK\r\n X: 1\r\nX-Tallycart-Response-Stamp: s\r\n" + REST },
				{ HEAD.replace("200", "000") + REST }, { HEAD.replace("200", "999") + REST },
				{ HEAD + "X: a\u0000b\r\n" + REST }, { "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + HEAD + REST },
				{ HEAD + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX Y: 1\r\n\r\n" } };
	}

	// Guards against bytes that are no reply and that callers get as an answer.
	@Test(dataProvider = "malformed")
	void aMalformedReplyIsNoAnswer(String sent) {
		this.reply = sent;
		String response = request(this.nodes.get(0), "/once/x", "r1", KEY);
		assertTrue(response.startsWith("HTTP/1.1 502"), response);
		assertFalse(response.contains(BODY), response);
	}

	@Test
	void aSoundReplyIsAnAnswer() {
		this.reply = HEAD + "X-Y: 1\r\n" + REST;
		String response = request(this.nodes.get(0), "/once/x", "r1", KEY);
		assertTrue(response.startsWith("HTTP/1.1 200"), response);
		assertTrue(response.contains("X-Y: 1\r\n"), response);
		assertTrue(response.endsWith(BODY), response);
	}

}
