package org.tallycart.core.replication;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link VersionedRegister}, {@link Manifest} and {@link ThreeWayMerge}.
 */
public class ReplicationTests {

	@DataProvider
	Object[][] offers() {
		return new Object[][] { { 4, 1, VersionedRegister.OfferResult.REFUSED_OLD },
				{ 5, 5, VersionedRegister.OfferResult.SAME }, { 5, 6, VersionedRegister.OfferResult.REFUSED_DIFFERENT },
				{ 6, 6, VersionedRegister.OfferResult.APPLIED } };
	}

	@Test(dataProvider = "offers")
	void registerVersionNeverDecreases(long version, int value, VersionedRegister.OfferResult expected) {
		VersionedRegister register = VersionedRegister.create("config");
		register.offer(5, new byte[] { 5 });
		assertEquals(register.offer(version, new byte[] { (byte) value }), expected);
		assertTrue(register.version() >= 5);
	}

	@DataProvider
	Object[][] merges() {
		return new Object[][] { { "1", "1", "1", "1" }, { "1", "2", "1", "2" }, { "1", "1", "2", "2" },
				{ "1", "2", "2", "2" }, { "1", "", "1", "" }, { "1", "1", "", "" }, { "", "2", "", "2" },
				{ "1", "2", "3", "conflict" }, { "1", "", "2", "conflict" }, { "", "2", "3", "conflict" } };
	}

	@Test(dataProvider = "merges")
	void mergeKeepsBothChangesOrReturnsTheConflict(String base, String mine, String theirs, String expected) {
		var merged = ThreeWayMerge.merge(section(base), section(mine), section(theirs));
		String found = merged.isLeft() ? "conflict" : merged.get().getOrDefault("s", "");
		assertEquals(found, expected);
	}

	private static Map<String, String> section(String text) {
		return text.isEmpty() ? Map.of() : Map.of("s", text);
	}

	@Test
	void manifestEncodingRoundTripsAndHistoryIsBounded() {
		Manifest manifest = Manifest.EMPTY;
		for (int i = 0; i < 100; i++) {
			manifest = manifest.next(new TreeMap<>(Map.of("policy", "d" + i)), "c" + i, "ana", "m" + i,
					List.of("policy p"));
		}
		Manifest read = Manifest.decode(manifest.encode()).get();
		assertEquals(read, manifest);
		assertEquals(read.version(), 100);
		assertEquals(read.history().size(), Manifest.HISTORY_LENGTH);
		assertEquals(read.find("c99").orElseThrow().version(), 100);
		assertTrue(read.find("c0").isEmpty());
		assertEquals(read.findLatestChange("policy p").orElseThrow().id(), "c99");
	}

}
