package org.tallycart.node;

import org.tallycart.platform.standin.UpstreamStandin.Fault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for replies with neither a length nor chunks, which end with their connection, on
 * real sockets.
 */
public class UnframedReplyTests extends AbstractNodeTests {

	private static final String LAST_CHUNK = "0\r\n\r\n";

	@Override
	int vms() {
		return 1;
	}

	@DataProvider
	static Object[][] broken() {
		return new Object[][] { { Fault.UNFRAMED_END_BEFORE_EVENT }, { Fault.UNFRAMED_END_WITHIN_EVENT },
				{ Fault.UNFRAMED_RESET_AFTER_EVENT }, { Fault.UNFRAMED_RESET_WITHIN_EVENT } };
	}

	// Guards against a stream that its upstream broke off and whose response is
	// completed.
	@Test(dataProvider = "broken")
	void aStreamThatIsBrokenOffDoesNotLookComplete(Fault fault) {
		setFault("engine", fault);
		String response = request(this.nodes.get(0), "/fragile/x", "r1", GENERATION);
		assertTrue(response.startsWith("HTTP/1.1 200"), response);
		assertFalse(response.endsWith(LAST_CHUNK), response);
		assertEquals(runs("r1"), 1);
	}

	// Guards against a resumed stream that repeats or lacks an event, or holds part of
	// one.
	@Test(dataProvider = "broken")
	void aStreamThatIsBrokenOffIsResumed(Fault fault) {
		sessionEngine(this.nodes.get(0)).setFault(fault);
		assertEquals(events(request(this.nodes.get(0), "/stream/x", "r1", GENERATION)), "id: 1,id: 2,id: 3,id: 4,");
		assertEquals(runs("r1"), 2);
	}

	private static String events(String response) {
		assertTrue(response.endsWith(LAST_CHUNK), response);
		return response.substring(response.indexOf("\r\n\r\n"), response.length() - LAST_CHUNK.length())
			.replaceAll("(?m)^[0-9a-f]+\r\n", "")
			.replace("\r\n", "")
			.replace("\ndata: r1\n\n", ",");
	}

	@Test
	void aWholeStreamIsComplete() {
		setFault("engine", Fault.UNFRAMED);
		assertEquals(events(request(this.nodes.get(0), "/fragile/x", "r1", GENERATION)), "id: 1,id: 2,id: 3,id: 4,");
		assertEquals(runs("r1"), 1);
	}

	@DataProvider
	static Object[][] plain() {
		return new Object[][] { { Fault.UNFRAMED, "/once/x", "200", 1 },
				{ Fault.UNFRAMED_RESET_AFTER_EVENT, "/once/x", "502", 1 },
				{ Fault.UNFRAMED_RESET_AFTER_EVENT, "/plain/x", "502", 2 } };
	}

	@Test(dataProvider = "plain")
	void aPlainReplyIsCompleteUnlessItIsReset(Fault fault, String path, String status, int runs) {
		setFault("plain", fault);
		String response = request(this.nodes.get(0), path, "r1", KEY);
		assertTrue(response.startsWith("HTTP/1.1 " + status), response);
		assertEquals(response.endsWith("GET " + path + " for r1"), "200".equals(status), response);
		assertEquals(runs("r1"), runs);
	}

	@DataProvider
	static Object[][] stageReplies() {
		return new Object[][] { { Fault.UNFRAMED, "200", 1 }, { Fault.UNFRAMED_END_WITHIN_EVENT, "503", 0 },
				{ Fault.UNFRAMED_RESET_WITHIN_EVENT, "503", 0 } };
	}

	@Test(dataProvider = "stageReplies")
	void noRequestRunsOnStageResultsOfABrokenReply(Fault fault, String status, int runs) {
		setFault("pool", fault);
		String response = request(this.nodes.get(0), "/stream/x", "r1",
				GENERATION + "X-Tallycart-Pieces: 2,3\r\nX-Tallycart-Piece-Key: k\r\n");
		assertTrue(response.startsWith("HTTP/1.1 " + status), response);
		assertEquals(runs("r1"), runs);
	}

}
