package org.tallycart.node;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.NodeSettings;
import org.tallycart.node.metrics.MetricsPage;
import org.tallycart.platform.http.CallerCodec;

/**
 * Starts a serving process on loopback, without a store, and asks it what the platform,
 * callers and collectors ask. Shows that an installation works; the build also runs it to
 * learn which classes a start loads.
 * <p>
 * Not thread-safe: used by the main thread only.
 */
final class SelfTest {

	private static final String LOOPBACK = "127.0.0.1";

	private static final Address ANY_PORT = new Address(LOOPBACK, 0);

	/** Nothing listens there: the process has to do without a store. */
	private static final Address NO_STORE = new Address(LOOPBACK, 1);

	private static final int TIMEOUT_MS = 5_000;

	/**
	 * How long the process is left to itself, in milliseconds: it looks for the store and
	 * for other VMs meanwhile.
	 */
	private static final int SETTLE_MS = 700;

	private final List<String> failures = new ArrayList<>();

	private SelfTest() {
	}

	/**
	 * Run the test.
	 * @return what failed; empty if nothing did
	 */
	static List<String> run() throws InterruptedException {
		SelfTest test = new SelfTest();
		NodeSettings settings = new NodeSettings("self-test", LOOPBACK, "self-test", ANY_PORT, ANY_PORT, 0, 0, NO_STORE,
				new NodeSettings.Bounds(TIMEOUT_MS, 0, TIMEOUT_MS, 0), true);
		Either<String, Node> node = Node.start(settings, 0);
		node.peek(test::ask).peekLeft(test.failures::add);
		Thread.sleep(SETTLE_MS);
		node.peek(Node::close);
		return test.failures;
	}

	private void ask(Node node) {
		expect(node.readinessPort(), CallerCodec.READINESS_PATH, "503");
		expect(node.callersPort(), "/", "400");
		expect(node.metricsPort(), MetricsPage.PATH, "200");
	}

	private void expect(int port, String path, String status) {
		String answer = get(port, path);
		if (!answer.startsWith("HTTP/1.1 " + status)) {
			this.failures.add(path + " at port " + port + " is answered: " + answer);
		}
	}

	private static String get(int port, String path) {
		try (Socket socket = new Socket(LOOPBACK, port)) {
			socket.setSoTimeout(TIMEOUT_MS);
			String request = "GET " + path + " HTTP/1.1\r\nHost: self-test\r\nConnection: close\r\n\r\n";
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
		catch (IOException ex) {
			return "nothing: " + ex.getMessage();
		}
	}

}
