package org.tallycart.node;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.NodeSettings;
import org.tallycart.platform.standin.StoreStandin;
import org.tallycart.platform.standin.UpstreamStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for the whole path: callers, two VMs, a store and upstreams, on real sockets.
 */
public class NodePathTests {

	private static final int WAIT_MS = 15_000;

	private static final int VMS = 2;

	private static final String CONFIG = """
			{"version":%d,
			 "routes":[
			  {"name":"plain","host":"h","path_prefix":"/plain/","kind":"idempotent","timeout_ms":3000,"slo_ms":200,
			   "priority":0,"service":"plain","max_attempts":2},
			  {"name":"once","host":"h","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":1500,"slo_ms":200,
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

	private static final String KEY = "Api-Key: key\r\n";

	private static final String GENERATION = KEY + "X-Tallycart-Model: m\r\nX-Tallycart-Token-Counts: 900,40\r\n"
			+ "X-Tallycart-Prompt-Prefix: aa:500,bb:200\r\n";

	private EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private StoreStandin store = StoreStandin.start(this.group);

	private final Map<String, UpstreamStandin> upstreams = new HashMap<>();

	private final List<Node> nodes = new ArrayList<>();

	@BeforeMethod
	void begin() {
		this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		this.store = StoreStandin.start(this.group);
		this.upstreams.clear();
		this.nodes.clear();
		for (String service : List.of("plain", "engine", "pool")) {
			for (int i = 0; i < 2; i++) {
				addUpstream(service, "i-" + service + i);
			}
		}
		this.store.put("config", "main", String.format(CONFIG, 7));
		for (int i = 0; i < VMS; i++) {
			this.nodes.add(Node.start(settings("vm-" + i), 0).get());
		}
		this.nodes.forEach((node) -> await(() -> ready(node)));
	}

	@AfterMethod
	void end() throws InterruptedException {
		this.nodes.forEach(Node::close);
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(WAIT_MS);
	}

	private void addUpstream(String service, String id) {
		UpstreamStandin upstream = UpstreamStandin.start(id, this.group);
		this.upstreams.put(id, upstream);
		this.store.put("servers", id, upstream.entry(service, "d", "ready"));
	}

	private NodeSettings settings(String vm) {
		Address any = new Address("127.0.0.1", 0);
		return new NodeSettings(vm, "127.0.0.1", "d", any, any, 0, 750, this.store.address(),
				new NodeSettings.Bounds(4_000, 0.2, 10_000, 50));
	}

	private static void await(BooleanSupplier condition) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
		while (!condition.getAsBoolean()) {
			assertTrue(System.nanoTime() < end, "not in time");
			pause(10);
		}
	}

	private static void pause(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static boolean ready(Node node) {
		return exchange(node.readinessPort(), "GET /v1/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			.startsWith("HTTP/1.1 200");
	}

	private static String exchange(int port, String text) {
		try (Socket socket = new Socket("127.0.0.1", port)) {
			socket.setSoTimeout(WAIT_MS);
			socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
		catch (IOException ex) {
			return "failed: " + ex.getMessage();
		}
	}

	private static String request(Node node, String path, String id, String fields) {
		return exchange(node.callersPort(), "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Tallycart-Request-Id: " + id
				+ "\r\nX-Tallycart-Deadline-Ms: 5000\r\nConnection: close\r\n" + fields + "\r\n");
	}

	private int runs(String id) {
		return this.upstreams.values().stream().mapToInt((upstream) -> upstream.runs(id)).sum();
	}

	private void setFault(String service, UpstreamStandin.Fault fault) {
		this.upstreams.forEach((id, upstream) -> {
			if (id.startsWith("i-" + service)) {
				upstream.setFault(fault);
			}
		});
	}

	@Test
	void aPlainRequestIsAnsweredByAnUpstreamOfItsService() {
		for (Node node : this.nodes) {
			String answer = request(node, "/plain/x?y=z", "r1", KEY);
			assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
			assertTrue(answer.endsWith("GET /plain/x?y=z for r1"));
			assertTrue(answer.contains("X-Tallycart-Response-Stamp: i-plain"));
		}
		assertEquals(runs("r1"), VMS);
	}

	@DataProvider
	static Object[][] declined() {
		return new Object[][] { { "/nowhere/x", KEY, "404" }, { "/plain/x", "", "401" },
				{ "/plain/x", "Api-Key: other\r\n", "401" }, { "/plain/x", KEY + "X-Tallycart-Pieces: x\r\n", "400" },
				{ "/plain/x", KEY + "Content-Length: 100001\r\n", "413" } };
	}

	@Test(dataProvider = "declined")
	void aRequestThatIsNotAllowedIsDeclinedAndDoesNotRun(String path, String fields, String status) {
		assertTrue(request(this.nodes.get(0), path, "r1", fields).startsWith("HTTP/1.1 " + status));
		assertEquals(runs("r1"), 0);
	}

	@Test
	void anOpenRouteNeedsNoKey() {
		assertTrue(request(this.nodes.get(0), "/open/x", "r1", "").startsWith("HTTP/1.1 200"));
	}

	@Test
	void piecesOfBothVmsMeetAndAStreamFollowsThem() {
		for (Node node : this.nodes) {
			String id = "r" + this.nodes.indexOf(node);
			String answer = request(node, "/stream/x", id,
					GENERATION + "X-Tallycart-Pieces: 2,3\r\nX-Tallycart-Piece-Key: k\r\n");
			assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
			assertTrue(answer.contains("id: 1\ndata: " + id + "\n\n"));
			assertTrue(answer.contains("id: 4\ndata: " + id + "\n\n"));
			assertTrue(answer.endsWith("0\r\n\r\n"), "complete");
			assertEquals(runs(id), 1);
		}
		int pieces = this.upstreams.values().stream().flatMap((u) -> u.batches().stream()).mapToInt((n) -> n).sum();
		assertEquals(pieces, VMS * 5);
		await(() -> this.upstreams.values().stream().mapToInt(UpstreamStandin::freed).sum() == VMS * 5);
	}

	@Test
	void noPieceIsMadeForARequestThatCannotBeAnsweredInTime() {
		String answer = exchange(this.nodes.get(0).callersPort(),
				"GET /stream/x HTTP/1.1\r\nHost: h\r\nX-Tallycart-Request-Id: r1\r\nX-Tallycart-Deadline-Ms: 250\r\n"
						+ "Connection: close\r\n" + GENERATION
						+ "X-Tallycart-Pieces: 1,1\r\nX-Tallycart-Piece-Key: k\r\n\r\n");
		assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
		assertTrue(answer.contains("Retry-After"));
		assertTrue(this.upstreams.values().stream().allMatch((upstream) -> upstream.batches().isEmpty()));
	}

	@Test
	void aSessionKeepsItsEngineOnEveryVm() {
		for (int i = 0; i < 6; i++) {
			request(this.nodes.get(i % VMS), "/fragile/x", "r" + i, GENERATION);
		}
		long engines = this.upstreams.values().stream().filter((upstream) -> !upstream.allRuns().isEmpty()).count();
		assertEquals(engines, 1);
	}

	@Test
	void aBrokenStreamGoesOnWithinOneAnswer() {
		setFault("engine", UpstreamStandin.Fault.BREAK);
		Thread mender = new Thread(() -> {
			await(() -> runs("r1") > 0);
			this.upstreams.values().forEach((upstream) -> {
				if (upstream.runs("r1") == 0) {
					upstream.setFault(UpstreamStandin.Fault.NONE);
				}
			});
		});
		mender.start();
		String answer = request(this.nodes.get(0), "/stream/x", "r1", GENERATION);
		String events = answer.substring(answer.indexOf("\r\n\r\n"))
			.replaceAll("(?m)^[0-9a-f]+\r\n", "")
			.replace("\r\n", "");
		assertEquals(events.replaceAll("\ndata: r1\n\n", ","), "id: 1,id: 2,id: 3,id: 4,");
		assertTrue(answer.endsWith("0\r\n\r\n"), "complete");
		assertEquals(runs("r1"), 2);
	}

	@Test
	void aStreamThatHasBegunIsNeverFollowedByASecondAnswer() {
		setFault("engine", UpstreamStandin.Fault.BREAK);
		Thread changer = new Thread(() -> {
			await(() -> runs("r1") > 0);
			setFault("engine", UpstreamStandin.Fault.INPUT_GONE);
			setFault("pool", UpstreamStandin.Fault.CLOSE);
			this.upstreams.values().forEach((upstream) -> {
				if (upstream.runs("r1") > 0) {
					upstream.setFault(UpstreamStandin.Fault.BREAK);
				}
			});
		});
		changer.start();
		String answer = request(this.nodes.get(0), "/stream/x", "r1",
				GENERATION + "X-Tallycart-Pieces: 1,1\r\nX-Tallycart-Piece-Key: k\r\n");
		assertTrue(answer.contains("id: 1"), answer);
		assertEquals(answer.split("HTTP/1.1", -1).length - 1, 1, answer);
		assertFalse(answer.endsWith("0\r\n\r\n"), "not complete");
	}

	@Test
	void notRunIsNeverSaidOfARequestThatMayHaveRunBeforeItsStageWorkFailed() {
		setFault("engine", UpstreamStandin.Fault.SILENT);
		Thread changer = new Thread(() -> {
			await(() -> runs("r1") > 0);
			setFault("engine", UpstreamStandin.Fault.INPUT_GONE);
			setFault("pool", UpstreamStandin.Fault.CLOSE);
		});
		changer.start();
		String answer = request(this.nodes.get(0), "/stream/x", "r1",
				GENERATION + "X-Tallycart-Pieces: 1,1\r\nX-Tallycart-Piece-Key: k\r\n");
		assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
		assertEquals(runs("r1"), 1);
	}

	@Test
	void aBrokenStreamThatCannotBeResumedDoesNotLookComplete() {
		setFault("engine", UpstreamStandin.Fault.BREAK);
		String answer = request(this.nodes.get(0), "/fragile/x", "r1", GENERATION);
		assertTrue(answer.contains("id: 2"));
		assertFalse(answer.endsWith("0\r\n\r\n"));
		assertEquals(runs("r1"), 1);
	}

	@DataProvider
	static Object[][] faults() {
		return new Object[][] { { UpstreamStandin.Fault.CLOSE, "/once/x", "502", 1 },
				{ UpstreamStandin.Fault.ERROR, "/once/x", "500", 1 },
				{ UpstreamStandin.Fault.SILENT, "/once/x", "504", 1 },
				{ UpstreamStandin.Fault.FULL, "/once/x", "503", 0 },
				{ UpstreamStandin.Fault.CLOSE, "/plain/x", "502", 2 },
				{ UpstreamStandin.Fault.ERROR, "/plain/x", "500", 2 },
				{ UpstreamStandin.Fault.SILENT, "/plain/x", "504", 2 },
				{ UpstreamStandin.Fault.FULL, "/plain/x", "503", 0 },
				{ UpstreamStandin.Fault.CLOSE, "/fragile/x", "502", 1 } };
	}

	@Test(dataProvider = "faults")
	void onlyWhatMayRunAgainRunsAgainAndNotRunIsTrue(UpstreamStandin.Fault fault, String path, String status,
			int runs) {
		setFault("plain", fault);
		setFault("engine", fault);
		String answer = request(this.nodes.get(0), path, "r1", path.startsWith("/fragile") ? GENERATION : KEY);
		assertTrue(answer.startsWith("HTTP/1.1 " + status), answer);
		assertEquals(answer.contains("Retry-After"), "503".equals(status));
		assertEquals(runs("r1"), runs);
	}

	@Test
	void metricsTellOutcomesAndTimes() {
		Node node = this.nodes.get(0);
		request(node, "/plain/x", "r1", KEY);
		request(node, "/nowhere/x", "r2", KEY);
		request(node, "/stream/x", "r3", GENERATION + "X-Tallycart-Pieces: 2,3\r\nX-Tallycart-Piece-Key: k\r\n");
		String page = exchange(node.metricsPort(), "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
		for (String line : List.of("requests_ended_status_200 1.0", "requests_ended_declined_404 1.0",
				"requests_ended_stream_complete 1.0", "streams_first_event_ms_count 1.0", "config_version 7.0",
				"requests_stage_work_ms_count 1.0")) {
			assertTrue(page.contains(line), line + " in " + page);
		}
		assertTrue(exchange(node.metricsPort(), "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			.startsWith("HTTP/1.1 404"));
	}

	@Test
	void aDrainingUpstreamGetsNothingNew() {
		this.store.put("servers", "i-plain0", this.upstreams.get("i-plain0").entry("plain", "d", "draining"));
		this.store.remove("servers", "i-plain1");
		addUpstream("plain", "i-plain2");
		await(() -> request(this.nodes.get(0), "/plain/x", "r1", KEY).contains("i-plain2"));
		Map<String, Integer> before = this.upstreams.get("i-plain0").allRuns();
		for (int i = 0; i < 10; i++) {
			assertTrue(request(this.nodes.get(0), "/plain/x", "q" + i, KEY).contains("i-plain2"));
		}
		assertEquals(this.upstreams.get("i-plain0").allRuns(), before);
	}

	@Test
	void aReusedAddressDoesNotGetARequestMeantForItsFormerHolder() {
		String other = this.upstreams.get("i-plain0").entry("plain", "d", "ready");
		this.store.remove("servers", "i-plain0");
		this.store.remove("servers", "i-plain1");
		this.store.put("servers", "i-stale", other);
		await(() -> request(this.nodes.get(0), "/plain/x", "r1", KEY).startsWith("HTTP/1.1 503"));
		Map<String, Integer> before = this.upstreams.get("i-plain0").allRuns();
		request(this.nodes.get(0), "/plain/x", "r2", KEY);
		assertEquals(this.upstreams.get("i-plain0").allRuns(), before);
	}

	@Test
	void anOlderConfigurationIsNeverTakenAndServingGoesOnWithoutTheStore() {
		this.store.put("config", "main", String.format(CONFIG, 9).replace("/plain/", "/fresh/"));
		await(() -> request(this.nodes.get(0), "/fresh/x", "r1", KEY).startsWith("HTTP/1.1 200"));
		this.store.put("config", "main", String.format(CONFIG, 8));
		this.store.put("config", "main", String.format(CONFIG, 10).replace("/plain/", "/newest/"));
		await(() -> request(this.nodes.get(0), "/newest/x", "r1", KEY).startsWith("HTTP/1.1 200"));
		this.store.setDown(true);
		pause(300);
		assertTrue(request(this.nodes.get(0), "/newest/x", "r2", KEY).startsWith("HTTP/1.1 200"));
		assertTrue(request(this.nodes.get(0), "/plain/x", "r3", KEY).startsWith("HTTP/1.1 404"));
	}

	@Test
	void aNodeWithoutAConfigurationIsNotReadyAndAnswersNotRun() {
		this.store.setDown(true);
		Node fresh = Node.start(settings("vm-x"), 0).get();
		this.nodes.add(fresh);
		assertFalse(ready(fresh));
		String answer = request(fresh, "/plain/x", "r1", KEY);
		assertTrue(answer.startsWith("HTTP/1.1 503"));
		assertTrue(answer.contains("Retry-After"));
		this.store.setDown(false);
		await(() -> ready(fresh));
	}

	@Test
	void aLostDispatchersPiecesAreMadeByAnotherVm() {
		pause(500);
		this.nodes.get(1).close();
		this.nodes.remove(1);
		for (int i = 0; i < 3; i++) {
			String answer = request(this.nodes.get(0), "/stream/x", "r" + i,
					GENERATION + "X-Tallycart-Pieces: 2,3\r\nX-Tallycart-Piece-Key: k\r\n");
			assertTrue(answer.endsWith("0\r\n\r\n"), answer);
		}
	}

	@Test
	void aCallerThatLeavesEndsTheUpstreamsWork() throws IOException {
		setFault("plain", UpstreamStandin.Fault.SILENT);
		try (Socket socket = new Socket("127.0.0.1", this.nodes.get(0).callersPort())) {
			socket.getOutputStream()
				.write(("GET /once/x HTTP/1.1\r\nHost: h\r\nX-Tallycart-Request-Id: r1\r\n" + KEY + "\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
			await(() -> runs("r1") == 1);
		}
		await(() -> this.upstreams.values().stream().mapToInt(UpstreamStandin::gone).sum() == 1);
	}

	@Test
	void aGracefulStopFinishesWhatIsInFlight() throws Exception {
		Node node = this.nodes.get(0);
		Map<String, String> answers = new HashMap<>();
		Thread caller = new Thread(() -> answers.put("r1", request(node, "/stream/x", "r1",
				GENERATION + "X-Tallycart-Pieces: 2,3\r\nX-Tallycart-Piece-Key: k\r\n")));
		caller.start();
		node.drain();
		caller.join(WAIT_MS);
		assertTrue(answers.get("r1").endsWith("0\r\n\r\n"));
		assertFalse(ready(node));
		node.awaitStopped();
	}

}
