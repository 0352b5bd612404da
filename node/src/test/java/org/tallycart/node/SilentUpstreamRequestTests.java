package org.tallycart.node;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.tallycart.core.serving.NodeSettings;
import org.tallycart.platform.standin.UpstreamStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for requests whose upstreams fall silent and go on, while the configuration
 * changes or the VM stops, on real sockets.
 */
public class SilentUpstreamRequestTests extends AbstractNodeTests {

	private static final int STREAMS = 8;

	private static final int EVENTS = 12;

	private static final int EVENT_INTERVAL_MS = 60;

	/** Number of events of a stream that outlasts a silence. */
	private static final int LONG_EVENTS = 50;

	/** Number of sessions of which each engine serves some. */
	private static final int MAX_SESSIONS = 50;

	/** Time after which all streams have begun, and none has ended. */
	private static final int UNDER_WAY_MS = 350;

	/** Longer than the silence after which another attempt is sought. */
	private static final int SILENCE_MS = 1_400;

	private static final String PIECES = GENERATION + "X-Tallycart-Pieces: 1,1\r\nX-Tallycart-Piece-Key: k\r\n";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private static final Pattern EVENT_ID = Pattern.compile("id: (\\d+)\n");

	private static final NodeSettings.PlatformLimits NO_RETRIES = new NodeSettings.PlatformLimits(4_000, 0, 10_000, 0);

	private ExecutorService threads = Executors.newCachedThreadPool();

	@Override
	int vms() {
		return 1;
	}

	@BeforeMethod
	void slowDownStreams() {
		this.threads = Executors.newCachedThreadPool();
		this.upstreams.values().forEach((upstream) -> {
			upstream.setEventCount(EVENTS);
			upstream.setEventIntervalMs(EVENT_INTERVAL_MS);
		});
	}

	@AfterMethod
	void stopThreads() {
		this.threads.shutdownNow();
	}

	private Node node() {
		return this.nodes.get(0);
	}

	private Stream<UpstreamStandin> ofService(String service) {
		return this.upstreams.keySet()
			.stream()
			.filter((id) -> id.startsWith("i-" + service))
			.sorted()
			.map(this.upstreams::get);
	}

	private void setSilent(String service, boolean silent) {
		ofService(service).forEach((upstream) -> upstream.setSilent(silent));
	}

	private void denyRetries() {
		changeLimits(node(), NO_RETRIES);
	}

	private void changeConfig(int version) {
		this.store.put("config", "main", String.format(CONFIG, version));
	}

	private List<Future<String>> begin(int count, String path, String headers) {
		return IntStream.range(0, count)
			.mapToObj((i) -> this.threads.submit(() -> request(node(), path, "r" + i, headers)))
			.toList();
	}

	private static List<String> responses(List<Future<String>> pending) {
		List<String> all = new ArrayList<>();
		for (Future<String> each : pending) {
			try {
				all.add(each.get());
			}
			catch (InterruptedException | ExecutionException ex) {
				throw new IllegalStateException(ex);
			}
		}
		return all;
	}

	private static void assertWholeStream(String response) {
		assertTrue(response.endsWith(LAST_CHUNK), response);
		List<Integer> ids = new ArrayList<>();
		for (Matcher matcher = EVENT_ID.matcher(response); matcher.find();) {
			ids.add(Integer.valueOf(matcher.group(1)));
		}
		assertEquals(ids, IntStream.rangeClosed(1, EVENTS).boxed().toList(), response);
	}

	/** What keeps another attempt from being made while an upstream is silent. */
	private enum Obstacle {

		/** The retry budget is spent. */
		NO_RETRIES,

		/** The stage results were released, and the workers are silent, too. */
		SILENT_STAGES,

		/** The only other upstream has no room. */
		OTHER_FULL,

		/** The only other upstream is down. */
		OTHER_DOWN

	}

	@DataProvider
	Object[][] obstacles() {
		return new Object[][] { { Obstacle.NO_RETRIES, true }, { Obstacle.NO_RETRIES, false },
				{ Obstacle.SILENT_STAGES, true }, { Obstacle.SILENT_STAGES, false }, { Obstacle.OTHER_FULL, false },
				{ Obstacle.OTHER_DOWN, false } };
	}

	// Guards against a stream that is cut at a silent upstream before it is sure that it
	// can go on elsewhere.
	@Test(dataProvider = "obstacles")
	void aStreamOutlastsASilentUpstreamThatNoOtherCanReplace(Obstacle obstacle, boolean allSilent) {
		if (obstacle == Obstacle.NO_RETRIES) {
			denyRetries();
		}
		UpstreamStandin engine = sessionEngine(node());
		List<Future<String>> pending = begin(STREAMS, "/stream/x", PIECES);
		pause(UNDER_WAY_MS);
		changeConfig(8);
		List<UpstreamStandin> silent = allSilent ? ofService("engine").toList() : List.of(engine);
		silent.forEach((upstream) -> upstream.setSilent(true));
		if (obstacle == Obstacle.SILENT_STAGES) {
			setSilent("pool", true);
		}
		List<UpstreamStandin> others = ofService("engine").filter((upstream) -> !silent.contains(upstream)).toList();
		if (obstacle == Obstacle.OTHER_FULL) {
			others.forEach((upstream) -> upstream.setFault(UpstreamStandin.Fault.FULL));
		}
		if (obstacle == Obstacle.OTHER_DOWN) {
			others.forEach((upstream) -> upstream.setFault(UpstreamStandin.Fault.CLOSE));
		}
		pause(SILENCE_MS);
		changeConfig(9);
		silent.forEach((upstream) -> upstream.setSilent(false));
		responses(pending).forEach(SilentUpstreamRequestTests::assertWholeStream);
		setSilent("pool", false);
	}

	// Guards against an idempotent request that fails since its upstream is silent for a
	// moment and no retry is allowed.
	@Test
	void aPlainRequestOutlastsASilentUpstream() {
		denyRetries();
		setSilent("plain", true);
		List<Future<String>> pending = begin(STREAMS, "/plain/x", KEY);
		pause(SILENCE_MS);
		setSilent("plain", false);
		responses(pending).forEach((response) -> assertTrue(response.startsWith("HTTP/1.1 200"), response));
	}

	// Guards against a request that waits until its deadline for two upstreams which are
	// gone without a word, while a third one could serve it.
	@Test
	void aSilentHedgeIsReplaced() {
		addUpstream("plain", "i-plain2");
		this.store.put("config", "main", String.format(CONFIG, 8).replace("\"max_attempts\":2", "\"max_attempts\":3"));
		ofService("plain").forEach((upstream) -> upstream.setWorkMs(100));
		await(() -> {
			responses(begin(STREAMS, "/plain/x", KEY));
			return !this.upstreams.get("i-plain2").runCounts().isEmpty();
		});
		this.upstreams.get("i-plain0").setSilent(true);
		this.upstreams.get("i-plain1").setSilent(true);
		String response = request(node(), "/plain/x", "hedged", KEY);
		assertTrue(response.startsWith("HTTP/1.1 200"), response);
		assertEquals(this.upstreams.get("i-plain2").runCount("hedged"), 1);
	}

	@DataProvider
	Object[][] otherEngines() {
		return new Object[][] { { 0 }, { 1 } };
	}

	// Guards against a hedge that goes to a second upstream which is gone, while another
	// one answers.
	@Test(dataProvider = "otherEngines")
	void aHedgeGoesToAnUpstreamThatAnswersOthers(int answering) {
		addUpstream("engine", "i-engine2");
		await(() -> metrics(node()).contains("upstreams 7.0"));
		UpstreamStandin engine = sessionEngine(node());
		List<UpstreamStandin> others = ofService("engine").filter((upstream) -> upstream != engine).toList();
		UpstreamStandin answers = others.get(answering);
		String session = sessionAt(answers);
		ofService("engine").forEach((upstream) -> upstream.setEventCount(LONG_EVENTS));
		List<Future<String>> pending = begin(1, "/stream/x", PIECES);
		Future<String> other = this.threads.submit(() -> request(node(), "/fragile/x", "other", session));
		pause(UNDER_WAY_MS);
		ofService("engine").filter((upstream) -> upstream != answers).forEach((upstream) -> upstream.setSilent(true));
		responses(pending).forEach((response) -> assertTrue(response.endsWith(LAST_CHUNK), response));
		assertEquals(answers.runCount("r0"), 1);
		assertTrue(responses(List.of(other)).get(0).endsWith(LAST_CHUNK));
	}

	// Returns the headers of a session whose streams go to an upstream.
	private String sessionAt(UpstreamStandin upstream) {
		ofService("engine").forEach((engine) -> engine.setEventCount(1));
		for (int i = 0; i < MAX_SESSIONS; i++) {
			String headers = GENERATION.replace("bb:200", "b" + i + ":200");
			String id = "session" + i;
			request(node(), "/fragile/x", id, headers);
			if (upstream.runCount(id) > 0) {
				return headers;
			}
		}
		throw new AssertionError("no session at the upstream");
	}

	// Guards against a stream that waits for an upstream which is gone without a word.
	@Test
	void aStreamGoesOnElsewhereWhenItsUpstreamStaysSilent() {
		UpstreamStandin engine = sessionEngine(node());
		List<Future<String>> pending = begin(STREAMS, "/stream/x", PIECES);
		pause(UNDER_WAY_MS);
		engine.setSilent(true);
		responses(pending).forEach(SilentUpstreamRequestTests::assertWholeStream);
	}

	// Guards against an attempt that is cancelled, and a caller that is told that its
	// request has not run, since the silent upstream refuses the request in the end.
	@Test
	void aSilentUpstreamThatRefusesInTheEndDoesNotEndTheOtherAttempt() {
		UpstreamStandin silent = this.upstreams.get("i-plain0");
		silent.setSilent(true);
		silent.setFault(UpstreamStandin.Fault.FULL);
		List<Future<String>> pending = begin(STREAMS, "/plain/x", KEY);
		pause(200);
		this.upstreams.get("i-plain1").setWorkMs(1_000);
		pause(500);
		silent.setSilent(false);
		responses(pending).forEach((response) -> assertTrue(response.startsWith("HTTP/1.1 200"), response));
	}

	// Guards against another attempt with stage results that were released, since the
	// stage work for an earlier one failed.
	@Test
	void anAttemptAfterFailedStageWorkDoesNotUseReleasedResults() {
		Set<String> released = ConcurrentHashMap.newKeySet();
		this.upstreams.values().forEach((upstream) -> upstream.shareReleasedResults(released));
		UpstreamStandin engine = sessionEngine(node());
		List<Future<String>> pending = begin(STREAMS, "/stream/x", PIECES);
		await(() -> IntStream.range(0, STREAMS)
			.allMatch((i) -> ofService("engine").anyMatch((upstream) -> upstream.eventCount("r" + i) > 0)));
		pause(EVENT_INTERVAL_MS * 3);
		ofService("pool").forEach((pool) -> pool.startBackoff("0.3"));
		engine.setSilent(true);
		pause(1_000);
		ofService("pool").forEach(UpstreamStandin::endBackoff);
		responses(pending).forEach(SilentUpstreamRequestTests::assertWholeStream);
		assertEquals(ofService("engine").mapToInt(UpstreamStandin::goneInputCount).sum(), 0);
		engine.setSilent(false);
	}

	// Guards against events that are left out or sent twice when a silent upstream speaks
	// again while another attempt is under way.
	@Test
	void aStreamIsWholeWhenItsUpstreamSpeaksWhileAnotherAttemptWaits() {
		UpstreamStandin engine = sessionEngine(node());
		List<Future<String>> pending = begin(STREAMS, "/stream/x", PIECES);
		pause(UNDER_WAY_MS);
		setSilent("engine", true);
		pause(SILENCE_MS);
		engine.setSilent(false);
		responses(pending).forEach(SilentUpstreamRequestTests::assertWholeStream);
		setSilent("engine", false);
	}

	// Guards against a second attempt at a stream since its caller does not read, so that
	// nothing is read from its upstream either.
	@Test
	void aCallerThatDoesNotReadMakesNoUpstreamSilent() throws IOException {
		ofService("engine").forEach((engine) -> engine.padEvents(1 << 20));
		String head = "GET /stream/x HTTP/1.1\r\nHost: h\r\nX-Tallycart-Request-Id: r0\r\n"
				+ "X-Tallycart-Deadline-Ms: 5000\r\nConnection: close\r\n" + PIECES + "\r\n";
		try (Socket socket = new Socket("127.0.0.1", node().callersPort())) {
			socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
			pause(UNDER_WAY_MS + SILENCE_MS);
			assertWholeStream(new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1));
		}
		assertEquals(runs("r0"), 1);
	}

	// Guards against a service without upstreams, since all are silent and have stated a
	// limit.
	@Test
	void silentUpstreamsWithStatedLimitsGetNewRequests() {
		ofService("plain").forEach((upstream) -> upstream.stateLimit("50"));
		assertTrue(responses(begin(STREAMS, "/plain/x", KEY)).stream().allMatch((r) -> r.startsWith("HTTP/1.1 200")));
		setSilent("plain", true);
		List<Future<String>> pending = new ArrayList<>(begin(STREAMS, "/long/x", KEY));
		pause(SILENCE_MS / 2);
		pending.addAll(begin(2, "/long/y", KEY));
		pause(SILENCE_MS / 2);
		setSilent("plain", false);
		responses(pending).forEach((response) -> assertTrue(response.startsWith("HTTP/1.1 200"), response));
	}

	// Guards against upstreams that count as failed or crashed, and requests that count
	// as
	// suspects, since the upstreams are silent.
	@Test
	void silentUpstreamsAndTheirRequestsAreNotAccused() {
		sessionEngine(node());
		List<Future<String>> pending = begin(STREAMS, "/stream/x", PIECES);
		pause(UNDER_WAY_MS);
		setSilent("engine", true);
		setSilent("pool", true);
		pause(SILENCE_MS);
		setSilent("engine", false);
		setSilent("pool", false);
		responses(pending);
		String metrics = metrics(node());
		assertFalse(metrics.contains("upstreams_cut"), metrics);
		assertFalse(metrics.contains("upstreams_crashed"), metrics);
	}

	// Guards against callers that hear nothing when a VM stops, since their stage work is
	// not done.
	@Test
	void aStoppingVmRefusesRequestsThatWaitForSilentStageWork() {
		setSilent("pool", true);
		List<Future<String>> pending = begin(STREAMS, "/stream/x", PIECES);
		pause(UNDER_WAY_MS);
		stop(node());
		for (String response : responses(pending)) {
			assertTrue(response.startsWith("HTTP/1.1 503"), response);
			assertTrue(response.contains("Retry-After"), response);
		}
		assertEquals(runs("r0"), 0);
	}

	// Guards against callers that hear nothing when a VM stops, since their upstream is
	// silent.
	@Test
	void aStoppingVmAnswersRequestsThatWaitForASilentUpstream() {
		setSilent("plain", true);
		List<Future<String>> pending = begin(STREAMS, "/long/x", KEY);
		pause(UNDER_WAY_MS);
		stop(node());
		for (String response : responses(pending)) {
			assertTrue(response.startsWith("HTTP/1.1 502") || response.startsWith("HTTP/1.1 504"), response);
		}
	}

	// Guards against a stop that gives up requests which are answered within the grace
	// time, since their upstreams are silent for a part of it.
	@Test
	void aStoppingVmWaitsForSilentUpstreamsThatGoOnInTime() {
		List<Future<String>> pending = begin(STREAMS, "/stream/x", PIECES);
		pause(UNDER_WAY_MS);
		setSilent("engine", true);
		node().drain();
		pause(SILENCE_MS);
		setSilent("engine", false);
		responses(pending).forEach(SilentUpstreamRequestTests::assertWholeStream);
	}

	private static void stop(Node node) {
		node.drain();
		try {
			node.awaitStopped();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
		node.close();
	}

}
