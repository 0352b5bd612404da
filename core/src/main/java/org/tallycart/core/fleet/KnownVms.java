package org.tallycart.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The other VMs' records, from the platform's store and from those VMs themselves. A VM
 * that has read the records before others left theirs, and cannot read them again, learns
 * of those that tell it.
 * <p>
 * Invariant: a record of the store goes before what its VM has told. Not thread-safe:
 * belongs to one event loop.
 */
final class KnownVms {

	private Collection<VmRecord> listed = List.of();

	private final Map<String, VmRecord> told = new HashMap<>();

	private final Map<String, Long> toldMs = new HashMap<>();

	void list(Collection<VmRecord> records) {
		this.listed = List.copyOf(records);
	}

	// Returns whether that is news.
	boolean onTold(VmRecord record, long nowMs) {
		this.toldMs.put(record.vm(), nowMs);
		return !record.equals(this.told.put(record.vm(), record));
	}

	/**
	 * Forget VMs that have not told of themselves for a while.
	 * @param nowMs the steady clock
	 * @return whether there were any
	 */
	boolean expire(long nowMs) {
		boolean some = this.toldMs.values().removeIf((at) -> nowMs - at > HeardVms.LATELY_MS);
		this.told.keySet().retainAll(this.toldMs.keySet());
		return some;
	}

	Collection<VmRecord> all() {
		if (this.told.isEmpty()) {
			return this.listed;
		}
		List<VmRecord> all = new ArrayList<>(this.listed);
		Set<String> names = new HashSet<>();
		this.listed.forEach((record) -> names.add(record.vm()));
		this.told.values().stream().filter((record) -> !names.contains(record.vm())).forEach(all::add);
		return all;
	}

}
