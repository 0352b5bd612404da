package org.tallycart.core.limit;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link UpstreamRateLimiter}.
 */
public class UpstreamRateLimiterTests {

	private static final String UPSTREAM = "u";

	/** Tolerated loss, since a request comes up to 10 ms after its token. */
	private static final double UNUSED_FRACTION = 0.03;

	private final UpstreamRateLimiter limiter = new UpstreamRateLimiter();

	@Test
	void aNewLimiterHasNoTokens() {
		UpstreamRateLimiter newLimiter = new UpstreamRateLimiter();
		assertEquals(newLimiter.acquire(UPSTREAM, 2, 1, 0, 1_000), Permit.denied(500));
		assertEquals(newLimiter.acquire(UPSTREAM, 2, 1, 0, 1_500), Permit.granted(0));
	}

	/** Several requests wait. */
	@Test
	void waitingRequestsReserveSuccessiveTokens() {
		UpstreamRateLimiter newLimiter = new UpstreamRateLimiter();
		assertEquals(newLimiter.acquire(UPSTREAM, 10, 1, 250, 0), Permit.granted(100));
		assertEquals(newLimiter.acquire(UPSTREAM, 10, 1, 250, 0), Permit.granted(200));
		assertEquals(newLimiter.acquire(UPSTREAM, 10, 1, 250, 0), Permit.denied(300));
		assertEquals(newLimiter.acquire(UPSTREAM, 10, 1, 350, 0), Permit.granted(300));
	}

	@DataProvider
	static Object[][] rates() {
		return new Object[][] { { 0, 1.0, 10 }, { 0.5, 1.0, 20 }, { 5, 1.0, 200 }, { 5, 1.0 / 3, 67 }, { 5, 0.0, 0 } };
	}

	/** Permits are requested continuously, a hundred times per second. */
	@Test(dataProvider = "rates")
	void grantsFollowTheLimit(double perSecond, double share, int granted) {
		UpstreamRateLimiter newLimiter = new UpstreamRateLimiter();
		int count = 0;
		for (long now = 0; now < 40_000; now += 10) {
			count += newLimiter.acquire(UPSTREAM, perSecond, share, 0, now).granted() ? 1 : 0;
		}
		assertTrue(count <= granted + 1, count + " granted, not " + granted);
		assertTrue(count >= granted * (1 - UNUSED_FRACTION) - 1, count + " granted, not " + granted);
	}

	@Test
	void aCheckOfAvailabilityTakesNoToken() {
		this.limiter.acquire(UPSTREAM, 1, 1, 0, 0);
		assertFalse(this.limiter.isAvailable(UPSTREAM, 1, 1, 500));
		assertTrue(this.limiter.isAvailable(UPSTREAM, 1, 1, 1_000));
		assertTrue(this.limiter.isAvailable(UPSTREAM, 1, 1, 1_000));
		assertTrue(this.limiter.acquire(UPSTREAM, 1, 1, 0, 1_000).granted());
	}

}
