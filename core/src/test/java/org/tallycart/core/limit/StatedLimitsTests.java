package org.tallycart.core.limit;

import java.util.OptionalDouble;

import org.tallycart.core.time.HybridTimestamp;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link StatedLimits}.
 */
public class StatedLimitsTests {

	private static final OptionalDouble NONE = OptionalDouble.empty();

	private StatedLimits limits = new StatedLimits();

	@BeforeMethod
	void setUp() {
		this.limits = new StatedLimits();
	}

	private static OptionalDouble rate(double perSecond) {
		return OptionalDouble.of(perSecond);
	}

	private boolean merge(OptionalDouble perSecond, long statedAtMs) {
		return this.limits.merge("u", perSecond, new HybridTimestamp(statedAtMs, 0), statedAtMs);
	}

	@DataProvider
	static Object[][] statements() {
		return new Object[][] { { NONE, rate(2), true }, { rate(2), rate(2), false }, { rate(2), rate(2.1), false },
				{ rate(2), rate(2.5), true }, { rate(2), rate(1), true }, { rate(2), NONE, true },
				{ NONE, NONE, false }, { NONE, rate(0), true } };
	}

	@Test(dataProvider = "statements")
	void onlyLargeChangesArePublished(OptionalDouble before, OptionalDouble after, boolean published) {
		merge(before, 1);
		assertEquals(merge(after, 2), published);
		assertEquals(this.limits.perSecond("u"), after);
	}

	/** A limit decreases slightly with each reply. */
	@Test
	void theSumOfSmallChangesIsPublished() {
		assertTrue(merge(rate(10), 1));
		assertFalse(merge(rate(9.5), 2));
		assertTrue(merge(rate(8.9), 3));
	}

	/** An older statement arrives after the upstream has withdrawn its limit. */
	@Test
	void anEarlierStatementDoesNotReplaceALaterOne() {
		merge(rate(2), 10);
		merge(NONE, 20);
		assertFalse(merge(rate(2), 15));
		assertEquals(this.limits.perSecond("u"), NONE);
	}

	@Test
	void statementsOfUnlistedUpstreamsAreDropped() {
		merge(rate(2), 0);
		this.limits.expire((incarnation) -> false, 29_000);
		assertEquals(this.limits.count(), 1, "its upstream may be listed soon");
		this.limits.expire((incarnation) -> true, 60_000);
		assertEquals(this.limits.count(), 1);
		this.limits.expire((incarnation) -> false, 60_000);
		assertTrue(this.limits.isEmpty());
	}

}
