package org.tallycart.core.stream;

import java.util.Optional;
import java.util.Set;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for {@link VersionHistory}.
 */
public class VersionHistoryTests {

	@Test
	void aVersionIsTheOnlyOneOnceTheOthersHaveBeenGoneForLong() {
		VersionHistory history = VersionHistory.EMPTY.updated(Set.of("v1"), 1_000)
			.updated(Set.of("v1", "v2"), 2_000)
			.updated(Set.of("v2"), 3_000);
		assertEquals(history.onlyVersionSince(3_000), Optional.empty());
		assertEquals(history.onlyVersionSince(3_001), Optional.of("v2"));
		assertEquals(history.updated(Set.of("v2"), 9_000), history, "the time of the end stays");
		assertEquals(history.updated(Set.of("v1", "v2"), 9_000).onlyVersionSince(8_000), Optional.empty());
	}

	@Test
	void nothingIsKnownWithoutARecord() {
		assertEquals(VersionHistory.EMPTY.onlyVersionSince(0), Optional.empty());
	}

	@Test
	void versionsThatLeftLongAgoAreDropped() {
		VersionHistory history = VersionHistory.EMPTY.updated(Set.of("v1"), 0).updated(Set.of("v2"), 1);
		assertEquals(history.updated(Set.of("v2"), 10_000_000).unlistedMs().keySet(), Set.of("v2"));
	}

}
