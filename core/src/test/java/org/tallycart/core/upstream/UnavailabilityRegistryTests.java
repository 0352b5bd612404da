package org.tallycart.core.upstream;

import java.util.Set;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for what upstreams have said of their leaving and of rest.
 */
public class UnavailabilityRegistryTests {

	private static final long MINUTE_MS = 60_000;

	private UnavailabilityRegistry absences = new UnavailabilityRegistry();

	@BeforeMethod
	void begin() {
		this.absences = new UnavailabilityRegistry();
	}

	@Test
	void whoLeavesNeverAcceptsRequestsAgain() {
		assertEquals(this.absences.acceptsInMs("a", 0), 0);
		assertTrue(this.absences.onDraining("a", 0));
		assertFalse(this.absences.onDraining("a", 1), "no news");
		this.absences.onBackoff("a", 5, 1);
		assertEquals(this.absences.acceptsInMs("a", 100), UnavailabilityRegistry.NEVER);
	}

	@DataProvider
	static Object[][] rests() {
		return new Object[][] { { 3_000, 1_000, 2_900 }, { 1_000, 3_000, 3_000 }, { 1_000, 0, 900 }, { 0, 0, 0 } };
	}

	/** Pattern: a rest is asked for, and another one 100 ms later. */
	@Test(dataProvider = "rests")
	void ofTwoRestsTheOneThatEndsLaterHolds(long firstMs, long secondMs, long leftMs) {
		this.absences.onBackoff("a", firstMs, 0);
		this.absences.onBackoff("a", secondMs, 100);
		assertEquals(this.absences.acceptsInMs("a", 100), leftMs);
		assertEquals(this.absences.acceptsInMs("b", 100), 0);
	}

	@Test
	void onlyTheBeginOfARestIsNews() {
		assertTrue(this.absences.onBackoff("a", 1_000, 0));
		assertFalse(this.absences.onBackoff("a", 1_000, 500));
		assertEquals(this.absences.backoffCount(1_499), 1);
		assertEquals(this.absences.backoffCount(1_500), 0);
		assertTrue(this.absences.onBackoff("a", 1_000, 1_500));
		assertFalse(this.absences.onBackoff("b", 0, 0), "asks for nothing");
	}

	/** Pattern: the list loses an upstream that leaves, and may show it again. */
	@Test
	void aLeavingUpstreamIsRememberedForMinutesAfterItWasListedLast() {
		this.absences.onDraining("a", 0);
		this.absences.expire(Set.of("a")::contains, 20 * MINUTE_MS);
		assertTrue(this.absences.isDraining("a"), "still listed");
		this.absences.expire((incarnation) -> false, 29 * MINUTE_MS);
		assertTrue(this.absences.isDraining("a"));
		this.absences.expire((incarnation) -> false, 31 * MINUTE_MS);
		assertFalse(this.absences.isDraining("a"));
		assertTrue(this.absences.isEmpty());
	}

	@Test
	void restsThatAreOverAreForgotten() {
		this.absences.onBackoff("a", 1_000, 0);
		this.absences.expire((incarnation) -> true, 999);
		assertFalse(this.absences.isEmpty());
		this.absences.expire((incarnation) -> true, 1_000);
		assertTrue(this.absences.isEmpty());
	}

}
