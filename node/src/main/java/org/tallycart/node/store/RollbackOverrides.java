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
 * Local state of one kind of object that is newer than the backup from which the store
 * was restored. Until an object is written again, the local state overrides the backup:
 * an object that the backup lacks is retained, one that it resurrects stays removed, and
 * one that it holds in an earlier version keeps the later version.
 * <p>
 * Invariant: an object that is written in the new era is never overridden. Not
 * thread-safe: confined to the event loop.
 */
final class RollbackOverrides {

	/**
	 * Time for which the removal of an object is remembered, in milliseconds; backups are
	 * seconds old.
	 */
	private static final long REMOVAL_MEMORY_MS = 60_000;

	/** Stands for the revision of an object that the backup lacks. */
	private static final long MISSING = -1;

	// How long objects are overridden that nobody writes again.
	private final OptionalLong durationMs;

	private final Map<String, Long> removedMs = new HashMap<>();

	private final Map<String, RetainedObject> retained = new HashMap<>();

	private long endMs;

	/**
	 * Create overrides.
	 * @param durationMs how long objects are overridden that nobody writes again, in
	 * milliseconds; empty for no limit
	 */
	RollbackOverrides(OptionalLong durationMs) {
		this.durationMs = durationMs;
	}

	/**
	 * Record that an object has been removed.
	 * @param name the name of the object
	 * @param nowMs the time on the monotonic clock
	 */
	void onRemoved(String name, long nowMs) {
		this.removedMs.values().removeIf((at) -> nowMs - at > REMOVAL_MEMORY_MS);
		this.removedMs.put(name, nowMs);
	}

	/**
	 * Determine the overrides from the first list of a new era.
	 * @param local the local objects from before the rollback
	 * @param restored the list
	 * @param newer tests whether a local object is newer than the listed one
	 * @param nowMs the time on the monotonic clock
	 */
	void onRollback(Map<String, StoredObject> local, Collection<StoredObject> restored,
			BiPredicate<StoredObject, StoredObject> newer, long nowMs) {
		this.retained.clear();
		this.endMs = nowMs + this.durationMs.orElse(0);
		Set<String> missing = new HashSet<>(local.keySet());
		for (StoredObject object : restored) {
			missing.remove(object.name());
			StoredObject localObject = local.get(object.name());
			boolean removed = nowMs
					- this.removedMs.getOrDefault(object.name(), nowMs - REMOVAL_MEMORY_MS - 1) <= REMOVAL_MEMORY_MS;
			if (localObject != null && newer.test(localObject, object)) {
				this.retained.put(object.name(), new RetainedObject(List.of(localObject), object.revision()));
			}
			else if (localObject == null && removed) {
				this.retained.put(object.name(), new RetainedObject(List.of(), object.revision()));
			}
		}
		missing.forEach((name) -> this.retained.put(name, new RetainedObject(List.of(local.get(name)), MISSING)));
	}

	/**
	 * Return the number of objects that are overridden.
	 * @return the count
	 */
	int count() {
		return this.retained.size();
	}

	/**
	 * Apply the overrides to a list of the current era.
	 * @param listed the list
	 * @param nowMs the time on the monotonic clock
	 * @return the effective objects
	 */
	List<StoredObject> apply(List<StoredObject> listed, long nowMs) {
		if (this.durationMs.isPresent() && nowMs >= this.endMs) {
			this.retained.clear();
		}
		if (this.retained.isEmpty()) {
			return listed;
		}
		List<StoredObject> effective = new ArrayList<>();
		Set<String> present = new HashSet<>();
		for (StoredObject object : listed) {
			present.add(object.name());
			RetainedObject override = this.retained.get(object.name());
			if (override != null && override.revision == object.revision()) {
				effective.addAll(override.objects);
			}
			else {
				this.retained.remove(object.name());
				effective.add(object);
			}
		}
		this.retained.forEach((name, override) -> {
			if (!present.contains(name)) {
				effective.addAll(override.objects);
			}
		});
		return effective;
	}

	/**
	 * Drop the overrides of objects that have been written in the current era.
	 * @param changes the changes
	 */
	void onChanges(List<ObjectChange> changes) {
		changes.forEach((change) -> this.retained.remove(change.object().name()));
	}

	/**
	 * Return the time until the overrides expire.
	 * @param nowMs the time on the monotonic clock
	 * @return milliseconds; empty if there are no overrides, or they do not expire
	 */
	OptionalLong remainingMs(long nowMs) {
		if (this.retained.isEmpty() || this.durationMs.isEmpty()) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(Math.max(this.endMs - nowMs, 0));
	}

	/**
	 * The override of one object.
	 *
	 * @param objects the object that is retained; empty if it is removed
	 * @param revision the revision in the backup
	 */
	private record RetainedObject(List<StoredObject> objects, long revision) {
	}

}
