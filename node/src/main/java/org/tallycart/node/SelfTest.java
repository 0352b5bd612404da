package org.tallycart.node;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.NodeSettings;
import org.tallycart.http.event.HttpServer;
import org.tallycart.node.metrics.MetricsHandler;
import org.tallycart.platform.http.CallerCodec;
import org.tallycart.platform.selftest.SelfTestStore;
import org.tallycart.platform.selftest.SelfTestUpstream;

/**
 * Tests an installation: starts two nodes on loopback with a store and upstreams of its
 * own, has each serve a plain request and a generation with stage work, and stops them.
 * <p>
 * The build also runs it to record the classes of the class archive, so that it includes
 * those that are loaded only while requests are served.
 * <p>
 * Not thread-safe: used by the main thread only.
 */
final class SelfTest {

	private static final String LOOPBACK = "127.0.0.1";

	private static final Address ANY_PORT = new Address(LOOPBACK, 0);

	/**
	 * Failure domain of the VMs and of the rehearsal upstreams, and prefix of VM names.
	 */
	private static final String NAME = "self-test";

	private static final int TIMEOUT_MS = 5_000;

	private static final int POLL_INTERVAL_MS = 20;

	/** Time for the VMs to discover each other, in milliseconds. */
	private static final int DISCOVERY_MS = 700;

	/** Capacity of a VM, in thousandths of a core: enough for any leader role. */
	private static final int CAPACITY = 1_000;

	private static final int VMS = 2;

	private final List<String> failures = new ArrayList<>();

	private final List<Node> nodes = new ArrayList<>();

	private SelfTest() {
	}

	/**
	 * Run the test.
	 * @return the failures; empty if there were none
	 */
	static List<String> run() throws InterruptedException {
		SelfTest test = new SelfTest();
		EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		HttpServer.start(group, ANY_PORT, new SelfTestUpstream())
			.flatMap((upstreams) -> HttpServer.start(group, ANY_PORT,
					new SelfTestStore(new Address(LOOPBACK, upstreams.port()), group.next())))
			.peek((store) -> test.startNodes(new Address(LOOPBACK, store.port())))
			.peekLeft(test.failures::add);
		if (test.failures.isEmpty()) {
			test.checkAll();
		}
		test.nodes.forEach(Node::close);
		group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
		return test.failures;
	}

	private void startNodes(Address store) {
		for (int i = 0; i < VMS; i++) {
			NodeSettings settings = new NodeSettings(NAME + i, LOOPBACK, NAME, ANY_PORT, ANY_PORT, 0, CAPACITY,
					Integer.MAX_VALUE, store, TIMEOUT_MS, new NodeSettings.PlatformLimits(TIMEOUT_MS, 0, TIMEOUT_MS, 0),
					true);
			Either<String, Node> node = Node.start(settings, 0);
			node.peek(this.nodes::add).peekLeft(this.failures::add);
		}
	}

	private void checkAll() throws InterruptedException {
		for (Node node : this.nodes) {
			await(() -> get(node.readinessPort(), CallerCodec.READINESS_PATH).startsWith("HTTP/1.1 200"));
		}
		Thread.sleep(DISCOVERY_MS);
		for (Node node : this.nodes) {
			expect(node, SelfTestUpstream.PLAIN);
			expect(node, SelfTestUpstream.STREAM);
			expect(node.callersPort(), "/", "400");
			expect(node.metricsPort(), MetricsHandler.PATH, "200");
		}
		Node first = this.nodes.get(0);
		first.drain();
		await(() -> get(first.readinessPort(), CallerCodec.READINESS_PATH).startsWith("HTTP/1.1 503"));
	}

	private void await(BooleanSupplier condition) throws InterruptedException {
		for (int elapsedMs = 0; elapsedMs < TIMEOUT_MS; elapsedMs += POLL_INTERVAL_MS) {
			if (condition.getAsBoolean()) {
				return;
			}
			Thread.sleep(POLL_INTERVAL_MS);
		}
		this.failures.add("readiness of a VM did not change within " + TIMEOUT_MS + " ms");
	}

	private void expect(Node node, SelfTestUpstream.Exchange exchange) {
		String response = send(node.callersPort(), exchange.request());
		if (!response.startsWith("HTTP/1.1 200") || !response.endsWith(exchange.expectedEnd())) {
			this.failures.add("unexpected response to a request: " + response);
		}
	}

	private void expect(int port, String path, String status) {
		String response = get(port, path);
		if (!response.startsWith("HTTP/1.1 " + status)) {
			this.failures.add(path + " at port " + port + " returned an unexpected response: " + response);
		}
	}

	private static String get(int port, String path) {
		return send(port, "GET " + path + " HTTP/1.1\r\nHost: self-test\r\nConnection: close\r\n\r\n");
	}

	private static String send(int port, String request) {
		try (Socket socket = new Socket(LOOPBACK, port)) {
			socket.setSoTimeout(TIMEOUT_MS);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
		catch (IOException ex) {
			return "no response: " + ex.getMessage();
		}
	}

}
