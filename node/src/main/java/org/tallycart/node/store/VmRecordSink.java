package org.tallycart.node.store;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * Not thread-safe: confined to the event loop.
 */
final class VmRecordSink implements ObjectSink {

	private final Map<String, VmRecord> records = new HashMap<>();

	private final NodeLog log;

	private final Consumer<Collection<VmRecord>> onRecords;

	VmRecordSink(NodeLog log, Consumer<Collection<VmRecord>> onRecords) {
		this.log = log;
		this.onRecords = onRecords;
	}

	@Override
	public void onAll(List<StoredObject> objects) {
		this.records.clear();
		objects.forEach(this::add);
		this.onRecords.accept(this.records.values());
	}

	@Override
	public void onChanges(List<ObjectChange> changes) {
		for (ObjectChange change : changes) {
			if (change.removed()) {
				this.records.remove(change.object().name());
			}
			else {
				add(change.object());
			}
		}
		this.onRecords.accept(this.records.values());
	}

	private void add(StoredObject object) {
		VmRecords.decode(object)
			.peek((record) -> this.records.put(record.vm(), record))
			.peekLeft((reason) -> this.log.event(EventCode.VM_LOST, "vm", object.name(), "reason", reason));
	}

}
