package org.tallycart.core.limit;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for the grants of requests to upstreams that have named a limit.
 */
public class UpstreamRateLimiterTests {

	private static final String U = "u";

	/** What may be lost, as a grant comes up to 10 ms after its time. */
	private static final double UNUSED_SHARE = 0.03;

	private final UpstreamRateLimiter grants = new UpstreamRateLimiter();

	@Test
	void nothingIsInStoreAtTheBegin() {
		UpstreamRateLimiter fresh = new UpstreamRateLimiter();
		assertEquals(fresh.acquire(U, 2, 1, 0, 1_000), Permit.denied(500));
		assertEquals(fresh.acquire(U, 2, 1, 0, 1_500), Permit.granted(0));
	}

	/** Pattern: several requests wait for their turn. */
	@Test
	void turnsAreGivenOneAfterTheOtherToThoseWhoCanWait() {
		UpstreamRateLimiter fresh = new UpstreamRateLimiter();
		assertEquals(fresh.acquire(U, 10, 1, 250, 0), Permit.granted(100));
		assertEquals(fresh.acquire(U, 10, 1, 250, 0), Permit.granted(200));
		assertEquals(fresh.acquire(U, 10, 1, 250, 0), Permit.denied(300));
		assertEquals(fresh.acquire(U, 10, 1, 350, 0), Permit.granted(300));
	}

	@DataProvider
	static Object[][] rates() {
		return new Object[][] { { 0, 1.0, 10 }, { 0.5, 1.0, 20 }, { 5, 1.0, 200 }, { 5, 1.0 / 3, 67 }, { 5, 0.0, 0 } };
	}

	/** Pattern: requests are asked for all the time, a hundred a second. */
	@Test(dataProvider = "rates")
	void noMoreIsGrantedThanTheUpstreamTakes(double perSecond, double share, int granted) {
		UpstreamRateLimiter fresh = new UpstreamRateLimiter();
		int count = 0;
		for (long now = 0; now < 40_000; now += 10) {
			count += fresh.acquire(U, perSecond, share, 0, now).granted() ? 1 : 0;
		}
		assertTrue(count <= granted + 1, count + " granted, not " + granted);
		assertTrue(count >= granted * (1 - UNUSED_SHARE) - 1, count + " granted, not " + granted);
	}

	@Test
	void lookingTakesNothing() {
		this.grants.acquire(U, 1, 1, 0, 0);
		assertFalse(this.grants.isAvailable(U, 1, 1, 500));
		assertTrue(this.grants.isAvailable(U, 1, 1, 1_000));
		assertTrue(this.grants.isAvailable(U, 1, 1, 1_000));
		assertTrue(this.grants.acquire(U, 1, 1, 0, 1_000).granted());
	}

}
