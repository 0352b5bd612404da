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
		return UpstreamEntry.of("i-1", "s").started(OptionalLong.of(1)).at(new Address("10.0.0.1", 1), "d");
	}

	@DataProvider
	static Object[][] changes() {
		return new Object[][] { { entry(), false }, { entry().cold(900), true },
				{ entry().started(OptionalLong.of(2)), true }, { entry().draining(true), true },
				{ entry().slots(9), true }, { entry().at(new Address("10.0.0.2", 1), "d"), true } };
	}

	@Test(dataProvider = "changes")
	void anEntryOfAWarmUpstreamIsNewsIfItSaysAnythingElse(UpstreamEntry.Builder fresh, boolean news) {
		assertEquals(fresh.build().newsAfter(entry().build()), news);
	}

	/** Pattern: a failure domain of cold upstreams, whose entries change every second. */
	@Test
	void thatLessOfTheColdTimeIsLeftIsNoNews() {
		UpstreamEntry known = entry().cold(2_400).build();
		assertEquals(entry().cold(1_200).build().newsAfter(known), false);
		assertEquals(entry().build().newsAfter(known), false);
		assertEquals(entry().cold(1_200).draining(true).build().newsAfter(known), true);
	}

}
