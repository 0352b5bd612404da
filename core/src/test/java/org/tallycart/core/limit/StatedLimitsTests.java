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
 * Tests for what one VM knows of the limits that upstreams have named.
 */
public class StatedLimitsTests {

	private static final OptionalDouble NONE = OptionalDouble.empty();

	private StatedLimits limits = new StatedLimits();

	@BeforeMethod
	void begin() {
		this.limits = new StatedLimits();
	}

	private static OptionalDouble rate(double perSecond) {
		return OptionalDouble.of(perSecond);
	}

	private boolean hear(OptionalDouble perSecond, long saidMs) {
		return this.limits.merge("u", perSecond, new HybridTimestamp(saidMs, 0), saidMs);
	}

	@DataProvider
	static Object[][] statements() {
		return new Object[][] { { NONE, rate(2), true }, { rate(2), rate(2), false }, { rate(2), rate(2.1), false },
				{ rate(2), rate(2.5), true }, { rate(2), rate(1), true }, { rate(2), NONE, true },
				{ NONE, NONE, false }, { NONE, rate(0), true } };
	}

	@Test(dataProvider = "statements")
	void othersHearOfWhatChangesALot(OptionalDouble before, OptionalDouble after, boolean news) {
		hear(before, 1);
		assertEquals(hear(after, 2), news);
		assertEquals(this.limits.perSecond("u"), after);
	}

	/** Pattern: a limit falls a little with each reply. */
	@Test
	void aLimitThatChangesALittleEachTimeIsToldInTheEnd() {
		assertTrue(hear(rate(10), 1));
		assertFalse(hear(rate(9.5), 2));
		assertTrue(hear(rate(8.9), 3));
	}

	/** Pattern: old news of a limit arrive after the upstream has taken it back. */
	@Test
	void anEarlierStatementDoesNotTakeALaterOneBack() {
		hear(rate(2), 10);
		hear(NONE, 20);
		assertFalse(hear(rate(2), 15));
		assertEquals(this.limits.perSecond("u"), NONE);
	}

	@Test
	void whatIsOfNoUseIsDropped() {
		hear(rate(2), 0);
		this.limits.expire((incarnation) -> false, 29_000);
		assertEquals(this.limits.count(), 1, "its upstream may be listed soon");
		this.limits.expire((incarnation) -> true, 60_000);
		assertEquals(this.limits.count(), 1);
		this.limits.expire((incarnation) -> false, 60_000);
		assertTrue(this.limits.isEmpty());
	}

}
