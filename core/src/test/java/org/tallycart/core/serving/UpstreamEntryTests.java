package org.tallycart.core.serving;

import java.util.OptionalLong;

import org.tallycart.core.ini.Address;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for what an entry of an upstream tells.
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
				{ entry().slots(9), true }, { entry().location(new Address("10.0.0.2", 1), "d"), true } };
	}

	@Test(dataProvider = "changes")
	void anEntryOfAWarmUpstreamIsNewsIfItSaysAnythingElse(UpstreamEntry.Builder fresh, boolean news) {
		assertEquals(fresh.build().isChangedFrom(entry().build()), news);
	}

	/** Pattern: a failure domain of cold upstreams, whose entries change every second. */
	@Test
	void thatLessOfTheColdTimeIsLeftIsNoNews() {
		UpstreamEntry known = entry().coldMs(2_400).build();
		assertEquals(entry().coldMs(1_200).build().isChangedFrom(known), false);
		assertEquals(entry().build().isChangedFrom(known), false);
		assertEquals(entry().coldMs(1_200).draining(true).build().isChangedFrom(known), true);
	}

}
