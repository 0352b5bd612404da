package org.tallycart.core.serving;

import java.util.OptionalLong;

import org.tallycart.core.ini.Address;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for {@link UpstreamEntry}.
 */
public class UpstreamEntryTests {

	private static UpstreamEntry.Builder entry() {
		return UpstreamEntry.builder("i-1", "s")
			.startedMs(OptionalLong.of(1))
			.location(new Address("10.0.0.1", 1), "d");
	}

	@DataProvider
	static Object[][] changes() {
		return new Object[][] { { entry(), false }, { entry().coldMs(900), true },
				{ entry().startedMs(OptionalLong.of(2)), true }, { entry().draining(true), true },
				{ entry().slots(9), true }, { entry().softwareVersion("v2"), true },
				{ entry().location(new Address("10.0.0.2", 1), "d"), true } };
	}

	@Test(dataProvider = "changes")
	void anyDifferenceOfAWarmUpstreamIsAChange(UpstreamEntry.Builder fresh, boolean changed) {
		assertEquals(fresh.build().isChangedFrom(entry().build()), changed);
	}

	/**
	 * Guards against a stream of updates from cold upstreams, whose entries are rewritten
	 * every second.
	 */
	@Test
	void decreasingColdTimeIsNotAChange() {
		UpstreamEntry previous = entry().coldMs(2_400).build();
		assertEquals(entry().coldMs(1_200).build().isChangedFrom(previous), false);
		assertEquals(entry().build().isChangedFrom(previous), false);
		assertEquals(entry().coldMs(1_200).draining(true).build().isChangedFrom(previous), true);
	}

}
