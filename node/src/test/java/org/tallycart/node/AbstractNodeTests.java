package org.tallycart.node;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.tallycart.core.attempt.HedgeLimits;
import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.NodeSettings;
import org.tallycart.platform.standin.StoreStandin;
import org.tallycart.platform.standin.UpstreamStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

import static org.testng.Assert.assertTrue;

/**
 * Base of tests with several nodes, a store and upstreams, on real sockets.
 */
abstract class AbstractNodeTests {

	static final int WAIT_MS = 15_000;

	/** Limits of a deployment. A VM has no slack in the first window after its start. */
	static final NodeSettings.PlatformLimits USUAL_LIMITS = new NodeSettings.PlatformLimits(4_000, 0.2, 10_000, 50);

	/** Limits that allow two retries for each request, also just after a start. */
	private static final NodeSettings.PlatformLimits MANY_RETRIES = new NodeSettings.PlatformLimits(4_000, 2.5, 10_000,
			50);

	static final String CONFIG = """
			{"version":%d,
			 "routes":[
			  {"name":"plain","host":"h","path_prefix":"/plain/","kind":"idempotent","timeout_ms":3000,"slo_ms":200,
			   "priority":0,"service":"plain","max_attempts":2},
			  {"name":"once","host":"h","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":1500,"slo_ms":200,
			   "priority":0,"service":"plain","max_attempts":2},
			  {"name":"long","host":"h","path_prefix":"/long/","kind":"idempotent","timeout_ms":9000,"slo_ms":200,
			   "priority":0,"service":"plain","max_attempts":2},
			  {"name":"open","host":"h","path_prefix":"/open/","kind":"idempotent","timeout_ms":3000,"slo_ms":200,
			   "priority":0,"service":"plain","max_attempts":1,"public":true},
			  {"name":"stream","host":"h","path_prefix":"/stream/","kind":"streaming","timeout_ms":9000,"slo_ms":3000,
			   "priority":1,"service":"engine","max_attempts":2,"resumable":true,"gap_slo_ms":500,
			   "stages":[{"service":"pool","after":[],"bytes":8000},{"service":"pool","after":[0],"bytes":6000}]},
			  {"name":"fragile","host":"h","path_prefix":"/fragile/","kind":"streaming","timeout_ms":9000,"slo_ms":3000,
			   "priority":1,"service":"engine","max_attempts":2,"resumable":false,"gap_slo_ms":500}],
			 "services":[{"name":"plain"},{"name":"engine","engine":{"slots":8}},
			  {"name":"pool","pieces":{"slots":1,"queue":2,"batch":8,"call_ms":10.0,"item_ms":1.0,"headroom_mb":1.0,"handle_s":4.0}}],
			 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,
			  "idle_timeout_ms":15000},
			 "tenants":[{"name":"w","api_keys":["key"]}]}
			""";

	static final String KEY = "Api-Key: key\r\n";

	static final String GENERATION = KEY + "X-Tallycart-Model: m\r\nX-Tallycart-Token-Counts: 900,40\r\n"
			+ "X-Tallycart-Prompt-Prefix: aa:500,bb:200\r\n";

	EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	StoreStandin store = StoreStandin.start(this.group);

	final Map<String, UpstreamStandin> upstreams = new HashMap<>();

	final List<Node> nodes = new ArrayList<>();

	private final List<Thread> callers = new ArrayList<>();

	private volatile boolean calling = true;

	/**
	 * Return the number of VMs that a test starts with.
	 * @return the count
	 */
	abstract int vms();

	/**
	 * Return the limits on hedges of the VMs that a test starts with.
	 * @return the limits
	 */
	HedgeLimits hedgeLimits() {
		return HedgeLimits.OFF;
	}

	/**
	 * Return the configuration that a test starts with.
	 * @return the text, with a placeholder for the version
	 */
	String config() {
		return CONFIG;
	}

	@BeforeMethod
	void begin() {
		this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		this.store = StoreStandin.start(this.group);
		this.upstreams.clear();
		this.nodes.clear();
		this.callers.clear();
		this.calling = true;
		for (String service : List.of("plain", "engine", "pool")) {
			for (int i = 0; i < 2; i++) {
				addUpstream(service, "i-" + service + i);
			}
		}
		this.store.put("config", "main", String.format(config(), 7));
		startVms();
	}

	// Starts the VMs that a test starts with, and waits until they are ready.
	void startVms() {
		for (int i = 0; i < vms(); i++) {
			this.nodes.add(Node.start(settings("vm-" + i), 0, Optional.empty(), hedgeLimits()).get());
		}
		this.nodes.forEach((node) -> await(() -> ready(node)));
	}

	// Stops all VMs at once, as kills would.
	void stopVms() {
		this.nodes.forEach(Node::close);
		this.nodes.clear();
	}

	void restartVms() {
		stopVms();
		startVms();
	}

	@AfterMethod
	void end() throws InterruptedException {
		this.calling = false;
		for (Thread caller : this.callers) {
			caller.join(WAIT_MS);
		}
		this.nodes.forEach(Node::close);
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(WAIT_MS);
	}

	void addUpstream(String service, String id) {
		addUpstream(service, id, "d");
	}

	void addUpstream(String service, String id, String domain) {
		UpstreamStandin upstream = UpstreamStandin.start(id, this.group);
		this.upstreams.put(id, upstream);
		this.store.put("servers", id, upstream.entry(service, domain, "ready"));
	}

	// Starts callers that make a call for each round until the test ends. The rounds of a
	// caller begin with its number.
	void startCallers(int count, long pauseMs, IntConsumer call) {
		IntStream.range(0, count).forEach((first) -> {
			Thread caller = new Thread(() -> {
				for (int round = first; this.calling; round++) {
					call.accept(round);
					pause(pauseMs);
				}
			});
			this.callers.add(caller);
			caller.start();
		});
	}

	/**
	 * Return the interval at which upstreams renew their entries.
	 * @return the interval, in milliseconds
	 */
	long upstreamHeartbeatMs() {
		return 1_200;
	}

	NodeSettings settings(String vm) {
		Address any = new Address("127.0.0.1", 0);
		return new NodeSettings(vm, "127.0.0.1", "d", any, any, 0, 750, Integer.MAX_VALUE, this.store.address(),
				upstreamHeartbeatMs(), limits(), true);
	}

	/**
	 * Return the limits of the VMs that a test starts with.
	 * @return the limits
	 */
	NodeSettings.PlatformLimits limits() {
		return MANY_RETRIES;
	}

	void changeLimits(Node node, NodeSettings.PlatformLimits limits) {
		NodeSettings old = settings("vm-0");
		node.reload(new NodeSettings(old.vm(), old.ip(), old.failureDomain(), old.callers(), old.readiness(),
				old.peerPort(), old.capacity(), old.maxDescriptors(), old.store(), old.upstreamHeartbeatMs(), limits,
				old.evacuationsEnabled()));
		assertTrue(ready(node), "the node has processed the change");
	}

	static void await(BooleanSupplier condition) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
		while (!condition.getAsBoolean()) {
			assertTrue(System.nanoTime() < end, "not in time");
			pause(10);
		}
	}

	static void pause(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static String metrics(Node node) {
		return exchange(node.metricsPort(), "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
	}

	static boolean ready(Node node) {
		return exchange(node.readinessPort(), "GET /v1/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			.startsWith("HTTP/1.1 200");
	}

	static String exchange(int port, String text) {
		try (Socket socket = new Socket("127.0.0.1", port)) {
			socket.setSoTimeout(WAIT_MS);
			socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
		catch (IOException ex) {
			return "failed: " + ex.getMessage();
		}
	}

	static String request(Node node, String path, String id, String headers) {
		return exchange(node.callersPort(), "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Tallycart-Request-Id: " + id
				+ "\r\nX-Tallycart-Deadline-Ms: 5000\r\nConnection: close\r\n" + headers + "\r\n");
	}

	int runs(String id) {
		return this.upstreams.values().stream().mapToInt((upstream) -> upstream.runCount(id)).sum();
	}

	// Returns the engine that the session of GENERATION is bound to.
	UpstreamStandin sessionEngine(Node node) {
		request(node, "/fragile/x", "session", GENERATION);
		return this.upstreams.values()
			.stream()
			.filter((upstream) -> upstream.runCount("session") > 0)
			.findFirst()
			.orElseThrow();
	}

	void setFault(String service, UpstreamStandin.Fault fault) {
		this.upstreams.forEach((id, upstream) -> {
			if (id.startsWith("i-" + service)) {
				upstream.setFault(fault);
			}
		});
	}

}
