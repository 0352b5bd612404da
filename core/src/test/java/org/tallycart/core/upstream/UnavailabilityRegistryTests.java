package org.tallycart.core.upstream;

import java.util.Set;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link UnavailabilityRegistry}.
 */
public class UnavailabilityRegistryTests {

	private static final long MINUTE_MS = 60_000;

	private UnavailabilityRegistry registry = new UnavailabilityRegistry();

	@BeforeMethod
	void setUp() {
		this.registry = new UnavailabilityRegistry();
	}

	@Test
	void aDrainingUpstreamNeverAcceptsRequestsAgain() {
		assertEquals(this.registry.acceptsInMs("a", 0), 0);
		assertTrue(this.registry.onDraining("a", 0));
		assertFalse(this.registry.onDraining("a", 1), "no news");
		this.registry.onBackoff("a", 5, 1);
		assertEquals(this.registry.acceptsInMs("a", 100), UnavailabilityRegistry.NEVER);
	}

	@DataProvider
	static Object[][] backoffs() {
		return new Object[][] { { 3_000, 1_000, 2_900 }, { 1_000, 3_000, 3_000 }, { 1_000, 0, 900 }, { 0, 0, 0 } };
	}

	/** A backoff is requested, and another one 100 ms later. */
	@Test(dataProvider = "backoffs")
	void ofTwoBackoffsTheOneThatEndsLaterApplies(long firstMs, long secondMs, long remainingMs) {
		this.registry.onBackoff("a", firstMs, 0);
		this.registry.onBackoff("a", secondMs, 100);
		assertEquals(this.registry.acceptsInMs("a", 100), remainingMs);
		assertEquals(this.registry.acceptsInMs("b", 100), 0);
	}

	@Test
	void onlyTheStartOfABackoffIsReported() {
		assertTrue(this.registry.onBackoff("a", 1_000, 0));
		assertFalse(this.registry.onBackoff("a", 1_000, 500));
		assertEquals(this.registry.backoffCount(1_499), 1);
		assertEquals(this.registry.backoffCount(1_500), 0);
		assertTrue(this.registry.onBackoff("a", 1_000, 1_500));
		assertFalse(this.registry.onBackoff("b", 0, 0), "asks for nothing");
	}

	/** A draining upstream is removed from the list and may be listed again. */
	@Test
	void aDrainingUpstreamIsKeptForMinutesAfterItWasLastListed() {
		this.registry.onDraining("a", 0);
		this.registry.expire(Set.of("a")::contains, 20 * MINUTE_MS);
		assertTrue(this.registry.isDraining("a"), "still listed");
		this.registry.expire((incarnation) -> false, 29 * MINUTE_MS);
		assertTrue(this.registry.isDraining("a"));
		this.registry.expire((incarnation) -> false, 31 * MINUTE_MS);
		assertFalse(this.registry.isDraining("a"));
		assertTrue(this.registry.isEmpty());
	}

	@Test
	void expiredBackoffsAreDropped() {
		this.registry.onBackoff("a", 1_000, 0);
		this.registry.expire((incarnation) -> true, 999);
		assertFalse(this.registry.isEmpty());
		this.registry.expire((incarnation) -> true, 1_000);
		assertTrue(this.registry.isEmpty());
	}

}
