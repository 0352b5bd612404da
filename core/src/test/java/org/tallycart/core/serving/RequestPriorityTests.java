package org.tallycart.core.serving;

import java.util.List;
import java.util.Optional;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link RequestPriority}.
 */
public class RequestPriorityTests {

	@DataProvider
	static Object[][] pairs() {
		return new Object[][] { { "routes of equal workspaces", new RequestPriority(1, 0), new RequestPriority(1, 1) },
				{ "the least urgent routes of equal workspaces", new RequestPriority(1, 1), new RequestPriority(1, 2) },
				{ "a workspace goes before a route", new RequestPriority(0, 2), new RequestPriority(1, 0) },
				{ "also where both are low", new RequestPriority(1, 2), new RequestPriority(2, 0) } };
	}

	@Test(dataProvider = "pairs")
	void moreUrgentRequestSortsFirst(String pattern, RequestPriority first, RequestPriority second) {
		assertTrue(first.sortKey() < second.sortKey(), pattern);
		assertTrue(first.enginePriority() < second.enginePriority(), pattern);
	}

	@Test
	void levelsOutOfRangeAreClamped() {
		assertEquals(new RequestPriority(7, 8).enginePriority(), 8);
		assertEquals(new RequestPriority(12, -1).sortKey(), 90);
	}

	@Test
	void requestWithoutWorkspaceLevelHasDefaultLevel() {
		Route route = new Route("r", "h", "/", RequestKind.STREAMING, List.of(), 6_000, 1_100, 200, 2, 1, List.of(),
				false, true);
		assertEquals(RequestPriority.of(Optional.empty(), route), new RequestPriority(1, 2));
		assertEquals(RequestPriority.of(Optional.of(new Workspace("w", Optional.empty())), route),
				new RequestPriority(1, 2));
		assertEquals(RequestPriority.of(Optional.of(new Workspace("w", Optional.of(0))), route),
				new RequestPriority(0, 2));
	}

}
