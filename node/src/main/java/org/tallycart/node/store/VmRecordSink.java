package org.tallycart.node.store;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.tallycart.core.fleet.VmRecord;
import org.tallycart.node.log.NodeLog;
import org.tallycart.platform.store.ObjectChange;
import org.tallycart.platform.store.StoredObject;
import org.tallycart.platform.store.VmRecords;
import org.tallycart.runtime.event.EventCode;

/**
 * Collects the records of all VMs.
 * <p>
 * Invariant: an invalid record names no VM, and does not affect the others. Not
 * thread-safe: confined to the event loop.
 */
final class VmRecordSink implements ObjectSink {

	private final Map<String, VmRecord> records = new HashMap<>();

	private final Set<String> invalid = new HashSet<>();

	private final NodeLog log;

	private final Consumer<Collection<VmRecord>> onRecords;

	VmRecordSink(NodeLog log, Consumer<Collection<VmRecord>> onRecords) {
		this.log = log;
		this.onRecords = onRecords;
	}

	@Override
	public void onAll(List<StoredObject> objects) {
		Set<String> invalidBefore = Set.copyOf(this.invalid);
		this.records.clear();
		this.invalid.clear();
		objects.forEach((object) -> add(object, invalidBefore));
		this.onRecords.accept(this.records.values());
	}

	@Override
	public void onChanges(List<ObjectChange> changes) {
		for (ObjectChange change : changes) {
			String name = change.object().name();
			this.records.remove(name);
			boolean wasInvalid = this.invalid.remove(name);
			if (!change.removed()) {
				add(change.object(), wasInvalid ? Set.of(name) : Set.of());
			}
		}
		this.onRecords.accept(this.records.values());
	}

	// A record that stays invalid is logged once, not each time it is read.
	private void add(StoredObject object, Set<String> invalidBefore) {
		VmRecords.decode(object).peek((record) -> this.records.put(record.vm(), record)).peekLeft((reason) -> {
			this.invalid.add(object.name());
			if (!invalidBefore.contains(object.name())) {
				this.log.event(EventCode.VM_LOST, "vm", object.name(), "reason", reason);
			}
		});
	}

}
