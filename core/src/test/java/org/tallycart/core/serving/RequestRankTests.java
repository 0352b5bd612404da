package org.tallycart.core.serving;

import java.util.List;
import java.util.Optional;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for the rank of requests.
 */
public class RequestRankTests {

	@DataProvider
	static Object[][] pairs() {
		return new Object[][] { { "routes of equal workspaces", new RequestRank(1, 0), new RequestRank(1, 1) },
				{ "the least urgent routes of equal workspaces", new RequestRank(1, 1), new RequestRank(1, 2) },
				{ "a workspace goes before a route", new RequestRank(0, 2), new RequestRank(1, 0) },
				{ "also where both are low", new RequestRank(1, 2), new RequestRank(2, 0) } };
	}

	@Test(dataProvider = "pairs")
	void theMoreUrgentComesFirst(String pattern, RequestRank first, RequestRank second) {
		assertTrue(first.order() < second.order(), pattern);
		assertTrue(first.enginePriority() < second.enginePriority(), pattern);
	}

	@Test
	void levelsBeyondThoseThatAreToldApartCountAsTheLast() {
		assertEquals(new RequestRank(7, 8).enginePriority(), 8);
		assertEquals(new RequestRank(12, -1).order(), 90);
	}

	@Test
	void aRequestWithoutAWorkspaceIsAnOrdinaryOne() {
		Route route = new Route("r", "h", "/", RequestKind.STREAMING, List.of(), 6_000, 1_100, 200, 2, 1, List.of(),
				false, true);
		assertEquals(RequestRank.of(Optional.empty(), route), new RequestRank(1, 2));
		assertEquals(RequestRank.of(Optional.of(new Workspace("w", Optional.empty())), route), new RequestRank(1, 2));
		assertEquals(RequestRank.of(Optional.of(new Workspace("w", Optional.of(0))), route), new RequestRank(0, 2));
	}

}
