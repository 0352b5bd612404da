package org.tallycart.node.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiPredicate;

import org.tallycart.platform.store.ObjectChange;
import org.tallycart.platform.store.StoredObject;

/**
 * What is known of one kind of object, and newer than the copy from which the store has
 * come back. Until it is written again, the copy is not believed over it: an object that
 * the copy lacks stays, one that it brings back stays away, and one that it has in an
 * earlier form keeps the later one.
 * <p>
 * Invariant: an object that is written in the new era is taken as it is. Not thread-safe:
 * belongs to the event loop.
 */
final class RollbackOverrides {

	/**
	 * How long it is remembered that an object has gone, in milliseconds: copies are
	 * seconds old.
	 */
	private static final long GONE_MS = 60_000;

	/** No revision that a copy may have. */
	private static final long MISSING = -1;

	// How long knowledge is kept that nobody writes again.
	private final OptionalLong termMs;

	private final Map<String, Long> goneMs = new HashMap<>();

	private final Map<String, Kept> kept = new HashMap<>();

	private long keptUntilMs;

	/**
	 * Create a memory.
	 * @param termMs how long knowledge that nobody writes again is kept, in milliseconds;
	 * empty if as long as this process lives
	 */
	RollbackOverrides(OptionalLong termMs) {
		this.termMs = termMs;
	}

	/**
	 * Take note that an object has gone.
	 * @param name the object
	 * @param nowMs the steady clock
	 */
	void onGone(String name, long nowMs) {
		this.goneMs.values().removeIf((at) -> nowMs - at > GONE_MS);
		this.goneMs.put(name, nowMs);
	}

	/**
	 * Take the first list of a new era.
	 * @param known what was known before
	 * @param copy the list
	 * @param newer tells whether what was known is newer than what the list holds
	 * @param nowMs the steady clock
	 */
	void begin(Map<String, StoredObject> known, Collection<StoredObject> copy,
			BiPredicate<StoredObject, StoredObject> newer, long nowMs) {
		this.kept.clear();
		this.keptUntilMs = nowMs + this.termMs.orElse(0);
		Set<String> missing = new HashSet<>(known.keySet());
		for (StoredObject object : copy) {
			missing.remove(object.name());
			StoredObject later = known.get(object.name());
			boolean gone = nowMs - this.goneMs.getOrDefault(object.name(), nowMs - GONE_MS - 1) <= GONE_MS;
			if (later != null && newer.test(later, object)) {
				this.kept.put(object.name(), new Kept(List.of(later), object.revision()));
			}
			else if (later == null && gone) {
				this.kept.put(object.name(), new Kept(List.of(), object.revision()));
			}
		}
		missing.forEach((name) -> this.kept.put(name, new Kept(List.of(known.get(name)), MISSING)));
	}

	/**
	 * Return how many objects are kept against the copy.
	 * @return the count
	 */
	int count() {
		return this.kept.size();
	}

	/**
	 * Take a list of the era, and put what is known into it.
	 * @param listed the list
	 * @param nowMs the steady clock
	 * @return what is to be believed
	 */
	List<StoredObject> apply(List<StoredObject> listed, long nowMs) {
		if (this.termMs.isPresent() && nowMs >= this.keptUntilMs) {
			this.kept.clear();
		}
		if (this.kept.isEmpty()) {
			return listed;
		}
		List<StoredObject> believed = new ArrayList<>();
		Set<String> present = new HashSet<>();
		for (StoredObject object : listed) {
			present.add(object.name());
			Kept against = this.kept.get(object.name());
			if (against != null && against.revision == object.revision()) {
				believed.addAll(against.known);
			}
			else {
				this.kept.remove(object.name());
				believed.add(object);
			}
		}
		this.kept.forEach((name, against) -> {
			if (!present.contains(name)) {
				believed.addAll(against.known);
			}
		});
		return believed;
	}

	/**
	 * Take changes of the era: what is written is no longer kept against it.
	 * @param changes the changes
	 */
	void onChanges(List<ObjectChange> changes) {
		changes.forEach((change) -> this.kept.remove(change.object().name()));
	}

	/**
	 * Return when a list is to be believed whole.
	 * @param nowMs the steady clock
	 * @return milliseconds from now; empty if nothing is kept, or what is kept has no end
	 */
	OptionalLong dueMs(long nowMs) {
		if (this.kept.isEmpty() || this.termMs.isEmpty()) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(Math.max(this.keptUntilMs - nowMs, 0));
	}

	/**
	 * An object that is kept against the copy.
	 *
	 * @param known what is believed; empty if it has gone
	 * @param revision its revision in the copy
	 */
	private record Kept(List<StoredObject> known, long revision) {
	}

}
