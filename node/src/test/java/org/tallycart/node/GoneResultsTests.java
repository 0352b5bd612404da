package org.tallycart.node;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.tallycart.platform.standin.UpstreamStandin;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for requests whose stage results are gone when an engine would read them.
 */
public class GoneResultsTests extends AbstractNodeTests {

	private static final int REQUESTS = 80;

	/** Share of requests, and number, that may be sent again; as in the settings. */
	private static final double RETRY_RATIO = 0.2;

	private static final int RETRY_SLACK = 50;

	/** Long enough that results are released before a stream breaks. */
	private static final int EVENT_INTERVAL_MS = 400;

	private static final String PIECES = GENERATION + "X-Tallycart-Pieces: 1,1\r\nX-Tallycart-Piece-Key: k\r\n";

	@Override
	int vms() {
		return 1;
	}

	private Node node() {
		return this.nodes.get(0);
	}

	private int engineArrivals() {
		return this.upstreams.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().startsWith("i-engine"))
			.mapToInt((entry) -> entry.getValue().arrivalsMs().size())
			.sum();
	}

	// Guards against more retries than the budget allows, since requests that an engine
	// rejects for results that are gone are sent again uncounted.
	@Test
	void resendsAfterGoneResultsCountAsRetries() {
		changeLimits(node(), USUAL_LIMITS);
		setFault("engine", UpstreamStandin.Fault.INPUT_GONE);
		for (int i = 0; i < REQUESTS; i++) {
			request(node(), "/stream/x", "r" + i, PIECES);
		}
		int again = engineArrivals() - REQUESTS;
		assertTrue(again <= RETRY_RATIO * REQUESTS + RETRY_SLACK, again + " sent again");
		assertTrue(again > 0, "none sent again");
	}

	// Guards against a broken stream that is sent with results which were released when
	// the stream began, and is bound to be rejected.
	@Test
	void aBrokenStreamIsNotSentWithReleasedResults() {
		Set<String> released = ConcurrentHashMap.newKeySet();
		this.upstreams.values().forEach((upstream) -> upstream.shareReleasedResults(released));
		this.upstreams.values().forEach(UpstreamStandin::breakNewStreams);
		this.upstreams.values().forEach((upstream) -> upstream.setEventIntervalMs(EVENT_INTERVAL_MS));
		String response = request(node(), "/stream/x", "r", PIECES);
		assertTrue(response.endsWith("0\r\n\r\n"), response);
		assertEquals(this.upstreams.values().stream().mapToInt(UpstreamStandin::goneInputCount).sum(), 0);
		assertEquals(engineArrivals(), 2);
	}

}
