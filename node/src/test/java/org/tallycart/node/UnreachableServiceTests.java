package org.tallycart.node;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.NodeSettings;
import org.tallycart.platform.standin.UpstreamStandin;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests with a service whose upstreams all refuse connections, while those of the others
 * accept them.
 */
public class UnreachableServiceTests extends AbstractNodeTests {

	private static final Pattern NOT_SENT = Pattern.compile("(?m)^sends_failed_not_sent(?:_total)? (\\d+)");

	/** Connections that one request may open in vain. */
	private static final int MAX_CONNECTIONS = 5;

	@Override
	int vms() {
		return 1;
	}

	@Override
	NodeSettings.PlatformLimits limits() {
		return USUAL_LIMITS;
	}

	@DataProvider
	static Object[][] paths() {
		return new Object[][] { { "/plain/x" }, { "/once/x" } };
	}

	// Guards against a request that is sent to a few refusing upstreams again and again
	// until its deadline, in place of being rejected at once.
	@Test(dataProvider = "paths")
	void aRequestIsRejectedAfterAFewConnections(String path) throws IOException {
		Node node = this.nodes.get(0);
		refuseConnections("plain");
		await(() -> !request(node, path, "probe", KEY).startsWith("HTTP/1.1 200"));
		double before = notSent(node);
		String response = request(node, path, "r1", KEY);
		assertTrue(response.startsWith("HTTP/1.1 503"), response);
		assertTrue(response.contains("Retry-After:"), response);
		assertTrue(notSent(node) - before <= MAX_CONNECTIONS, (notSent(node) - before) + " connections");
		assertEquals(runs("r1"), 0);
	}

	private static double notSent(Node node) {
		Matcher matcher = NOT_SENT.matcher(metrics(node));
		return matcher.find() ? Double.parseDouble(matcher.group(1)) : 0;
	}

	private void refuseConnections(String service) throws IOException {
		for (int i = 0; i < 2; i++) {
			String id = "i-closed" + i;
			UpstreamStandin upstream = UpstreamStandin.start(id, this.group);
			this.upstreams.put(id, upstream);
			// A VM keeps using a connection that it opened to an earlier address.
			upstream.advertise(closedAddress());
			this.store.put("servers", id, upstream.entry(service, "d", "ready"));
			this.store.remove("servers", "i-" + service + i);
		}
	}

	private static Address closedAddress() throws IOException {
		try (ServerSocket closed = new ServerSocket(0)) {
			return new Address("127.0.0.1", closed.getLocalPort());
		}
	}

}
