package org.tallycart.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.tallycart.platform.standin.EndlessReplyProxy;
import org.tallycart.platform.standin.EndlessReplyProxy.Kind;
import org.tallycart.platform.standin.UpstreamStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for upstreams whose replies have no end, on real sockets.
 */
public class EndlessUpstreamTests extends AbstractNodeTests {

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private static final String PIECES = GENERATION + "X-Tallycart-Pieces: 1,1\r\nX-Tallycart-Piece-Key: k\r\n";

	private static final Pattern EVENT_ID = Pattern.compile("id: (\\d+)\n");

	private final Map<String, EndlessReplyProxy> proxies = new HashMap<>();

	@Override
	int vms() {
		return 1;
	}

	@Override
	void addUpstream(String service, String id, String domain) {
		UpstreamStandin upstream = UpstreamStandin.start(id, this.group);
		EndlessReplyProxy proxy = EndlessReplyProxy.start(upstream.address());
		upstream.advertise(proxy.address());
		this.proxies.put(id, proxy);
		this.upstreams.put(id, upstream);
		this.store.put("servers", id, upstream.entry(service, domain, "ready"));
	}

	@AfterMethod
	void closeProxies() {
		this.proxies.values().forEach(EndlessReplyProxy::close);
		this.proxies.clear();
	}

	private Node node() {
		return this.nodes.get(0);
	}

	private void setKind(String upstream, Kind kind) {
		proxy(upstream).setKind(Optional.of(kind));
	}

	private EndlessReplyProxy proxy(String upstream) {
		return Optional.ofNullable(this.proxies.get(upstream)).orElseThrow();
	}

	private static String eventIds(String response) {
		StringBuilder ids = new StringBuilder();
		Matcher matcher = EVENT_ID.matcher(response);
		while (matcher.find()) {
			ids.append(matcher.group(1)).append(' ');
		}
		return ids.toString();
	}

	@DataProvider
	static Object[][] plain() {
		return new Object[][] { { Kind.HEAD }, { Kind.INFORMATIONAL_HEADS }, { Kind.INFORMATIONAL_TRICKLE },
				{ Kind.BODY }, { Kind.CHUNK_EXTENSIONS }, { Kind.TRAILERS } };
	}

	// Guards against requests that end with their timeout, since one upstream sends bytes
	// that are no answer.
	@Test(dataProvider = "plain")
	void anEndlessPlainReplyExceedsALimitAndCostsOneAttempt(Kind kind) {
		setKind("i-plain0", kind);
		for (int i = 0; i < 4; i++) {
			String response = request(node(), "/plain/x", "r" + i, KEY);
			assertTrue(response.startsWith("HTTP/1.1 200"), response);
			assertEquals(runs("r" + i), 1);
		}
		assertTrue(proxy("i-plain0").replyCount() > 0);
		// A trickle is silent before it exceeds a limit, or the other way around.
		assertTrue(kind == Kind.INFORMATIONAL_TRICKLE || metrics(node()).contains("over_limit"));
	}

	// Guards against a second run of what may run once.
	@Test
	void anEndlessReplyToARequestThatMayRunOnceIsNotRepeated() {
		setKind("i-plain0", Kind.BODY);
		setKind("i-plain1", Kind.BODY);
		String response = request(node(), "/once/x", "r1", KEY);
		assertTrue(response.startsWith("HTTP/1.1 502"), response);
		assertEquals(proxy("i-plain0").replyCount() + proxy("i-plain1").replyCount(), 1);
	}

	@DataProvider
	static Object[][] streams() {
		return new Object[][] { { Kind.EVENT }, { Kind.EVENT_TRICKLE }, { Kind.COMMENT_TRICKLE }, { Kind.HEAD },
				{ Kind.CHUNK_EXTENSIONS }, { Kind.INFORMATIONAL_HEADS } };
	}

	// Guards against a stream that ends, or repeats an event, since its upstream sends
	// bytes that are no event.
	@Test(dataProvider = "streams")
	void aStreamGoesOnElsewhereAfterItsLastEventBeforeAnEndlessOne(Kind kind) {
		String engine = sessionEngineId();
		setKind(engine, kind);
		String response = request(node(), "/stream/x", "r1", GENERATION);
		assertEquals(eventIds(response), "1 2 3 4 ", response);
		assertTrue(response.endsWith(LAST_CHUNK), response);
		assertTrue(proxy(engine).replyCount() > 0);
	}

	private String sessionEngineId() {
		UpstreamStandin engine = sessionEngine(node());
		return this.upstreams.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() == engine)
			.map(Map.Entry::getKey)
			.findFirst()
			.orElseThrow();
	}

	@Test
	void aStreamThatMayNotBeResumedIsBrokenOffAtAnEndlessEvent() {
		setKind(sessionEngineId(), Kind.EVENT);
		String response = request(node(), "/fragile/x", "r1", GENERATION);
		assertEquals(eventIds(response), "1 2 ", response);
		assertFalse(response.endsWith(LAST_CHUNK), response);
	}

	@DataProvider
	static Object[][] stageReplies() {
		return new Object[][] { { Kind.HEAD }, { Kind.INFORMATIONAL_HEADS }, { Kind.BODY }, { Kind.CHUNK_EXTENSIONS },
				{ Kind.TRAILERS } };
	}

	@Test(dataProvider = "stageReplies")
	void stageWorkIsDoneElsewhereAfterAnEndlessReply(Kind kind) {
		setKind("i-pool0", kind);
		for (int i = 0; i < 3; i++) {
			String response = request(node(), "/stream/x", "r" + i, PIECES);
			assertEquals(eventIds(response), "1 2 3 4 ", response);
		}
		assertTrue(proxy("i-pool0").replyCount() > 0);
	}

	// Guards against stage work that is done twice, since a comment released the results
	// of a stream that has had no event.
	@Test
	void commentsReleaseNoStageResults() {
		String engine = sessionEngineId();
		setKind(engine, Kind.COMMENTS_BEFORE_EVENTS);
		String response = request(node(), "/stream/x", "r1", PIECES);
		assertEquals(eventIds(response), "1 2 3 4 ", response);
		assertTrue(proxy(engine).replyCount() > 0);
		assertEquals(piecesMade(), 2);
		await(() -> releasedResults() == 2);
	}

	private int piecesMade() {
		return this.upstreams.values()
			.stream()
			.flatMap((upstream) -> upstream.batchSizes().stream())
			.mapToInt(Integer::intValue)
			.sum();
	}

	private int releasedResults() {
		return this.upstreams.values().stream().mapToInt(UpstreamStandin::releasedCount).sum();
	}

	// Guards against crash detection that accuses requests of upstreams that are only
	// faulty.
	@Test
	void noRequestIsAccusedOfACrashAfterEndlessReplies() {
		setKind("i-plain0", Kind.BODY);
		setKind("i-plain1", Kind.BODY);
		for (int i = 0; i < 8; i++) {
			request(node(), "/plain/same", "r" + i, KEY);
		}
		this.proxies.values().forEach((proxy) -> proxy.setKind(Optional.empty()));
		await(() -> request(node(), "/plain/same", "last", KEY).startsWith("HTTP/1.1 200"));
	}

}
