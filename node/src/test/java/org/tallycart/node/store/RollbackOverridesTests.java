package org.tallycart.node.store;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.tallycart.platform.store.ObjectChange;
import org.tallycart.platform.store.StoredObject;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for what is known and newer than the copy from which the store has come back.
 */
public class RollbackOverridesTests {

	private static final long TERM_MS = 2_000;

	private static final StoredObject EARLIER = object("a", 5, "earlier");

	private static final StoredObject LATER = object("a", 9, "later");

	private RollbackOverrides copy = new RollbackOverrides(OptionalLong.of(TERM_MS));

	@BeforeMethod
	void begin() {
		this.copy = new RollbackOverrides(OptionalLong.of(TERM_MS));
	}

	private static StoredObject object(String name, long revision, String content) {
		return StoredObject.of(name, revision, "\"" + content + "\"").get();
	}

	private List<StoredObject> back(Map<String, StoredObject> known, List<StoredObject> listed) {
		this.copy.begin(known, listed, (mine, held) -> mine.revision() > held.revision(), 0);
		return this.copy.apply(listed, 0);
	}

	@DataProvider
	static Object[][] returns() {
		return new Object[][] { { Map.of("a", LATER), List.of(EARLIER), List.of(LATER) },
				{ Map.of("a", LATER), List.of(), List.of(LATER) },
				{ Map.of("a", EARLIER), List.of(EARLIER), List.of(EARLIER) },
				{ Map.of("a", EARLIER), List.of(LATER), List.of(LATER) },
				{ Map.of(), List.of(LATER), List.of(LATER) } };
	}

	@Test(dataProvider = "returns")
	void whatIsNewerIsKeptUntilItsTermIsOver(Map<String, StoredObject> known, List<StoredObject> listed,
			List<StoredObject> believed) {
		assertEquals(back(known, listed), believed);
		assertEquals(this.copy.apply(listed, TERM_MS - 1), believed);
		assertEquals(this.copy.apply(listed, TERM_MS), listed);
	}

	/** Pattern: an upstream had left before the return. */
	@Test
	void whatHasGoneStaysAwayUntilItIsWrittenAgain() {
		this.copy.onGone("a", -100);
		assertEquals(back(Map.of(), List.of(EARLIER)), List.of());
		StoredObject again = object("a", 7, "alive");
		assertEquals(this.copy.apply(List.of(again), 10), List.of(again));
	}

	@Test
	void whatWentLongAgoIsNotRemembered() {
		this.copy.onGone("a", -61_000);
		assertEquals(back(Map.of(), List.of(EARLIER)), List.of(EARLIER));
	}

	@Test
	void whatIsWrittenInTheNewEraIsTaken() {
		back(Map.of("a", LATER), List.of(EARLIER));
		StoredObject fresh = object("a", 6, "fresh");
		this.copy.onChanges(List.of(new ObjectChange(fresh, false)));
		assertEquals(this.copy.apply(List.of(fresh), 10), List.of(fresh));
		assertEquals(this.copy.count(), 0);
	}

	@Test
	void withoutATermItIsKeptForGood() {
		this.copy = new RollbackOverrides(OptionalLong.empty());
		assertEquals(back(Map.of("a", LATER), List.of(EARLIER)), List.of(LATER));
		assertEquals(this.copy.apply(List.of(EARLIER), 1_000_000), List.of(LATER));
		assertEquals(this.copy.dueMs(0), OptionalLong.empty());
	}

}
