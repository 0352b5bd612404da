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
 * Tests for {@link RollbackOverrides}.
 */
public class RollbackOverridesTests {

	private static final long DURATION_MS = 2_000;

	private static final StoredObject EARLIER = object("a", 5, "earlier");

	private static final StoredObject LATER = object("a", 9, "later");

	private RollbackOverrides overrides = new RollbackOverrides(OptionalLong.of(DURATION_MS));

	@BeforeMethod
	void begin() {
		this.overrides = new RollbackOverrides(OptionalLong.of(DURATION_MS));
	}

	private static StoredObject object(String name, long revision, String content) {
		return StoredObject.parse(name, revision, "\"" + content + "\"").get();
	}

	private List<StoredObject> rollBack(Map<String, StoredObject> local, List<StoredObject> listed) {
		this.overrides.onRollback(local, listed, (object, stored) -> object.revision() > stored.revision(), 0);
		return this.overrides.apply(listed, 0);
	}

	@DataProvider
	static Object[][] rollbacks() {
		return new Object[][] { { Map.of("a", LATER), List.of(EARLIER), List.of(LATER) },
				{ Map.of("a", LATER), List.of(), List.of(LATER) },
				{ Map.of("a", EARLIER), List.of(EARLIER), List.of(EARLIER) },
				{ Map.of("a", EARLIER), List.of(LATER), List.of(LATER) },
				{ Map.of(), List.of(LATER), List.of(LATER) } };
	}

	@Test(dataProvider = "rollbacks")
	void newerObjectsAreRetainedUntilTheOverridesExpire(Map<String, StoredObject> local, List<StoredObject> listed,
			List<StoredObject> effective) {
		assertEquals(rollBack(local, listed), effective);
		assertEquals(this.overrides.apply(listed, DURATION_MS - 1), effective);
		assertEquals(this.overrides.apply(listed, DURATION_MS), listed);
	}

	/** An object was removed before the rollback. */
	@Test
	void aRemovedObjectStaysRemovedUntilItIsWrittenAgain() {
		this.overrides.onRemoved("a", -100);
		assertEquals(rollBack(Map.of(), List.of(EARLIER)), List.of());
		StoredObject rewritten = object("a", 7, "alive");
		assertEquals(this.overrides.apply(List.of(rewritten), 10), List.of(rewritten));
	}

	@Test
	void anOldRemovalIsNotRemembered() {
		this.overrides.onRemoved("a", -61_000);
		assertEquals(rollBack(Map.of(), List.of(EARLIER)), List.of(EARLIER));
	}

	@Test
	void anObjectThatIsWrittenInTheNewEraIsNotOverridden() {
		rollBack(Map.of("a", LATER), List.of(EARLIER));
		StoredObject written = object("a", 6, "fresh");
		this.overrides.onChanges(List.of(new ObjectChange(written, false)));
		assertEquals(this.overrides.apply(List.of(written), 10), List.of(written));
		assertEquals(this.overrides.count(), 0);
	}

	@Test
	void withoutADurationOverridesDoNotExpire() {
		this.overrides = new RollbackOverrides(OptionalLong.empty());
		assertEquals(rollBack(Map.of("a", LATER), List.of(EARLIER)), List.of(LATER));
		assertEquals(this.overrides.apply(List.of(EARLIER), 1_000_000), List.of(LATER));
		assertEquals(this.overrides.remainingMs(0), OptionalLong.empty());
	}

}
