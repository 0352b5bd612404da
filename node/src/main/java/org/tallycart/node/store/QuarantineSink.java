package org.tallycart.node.store;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.tallycart.core.crash.Fingerprint;
import org.tallycart.core.crash.Quarantine;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.platform.store.ObjectChange;
import org.tallycart.platform.store.QuarantineRecords;
import org.tallycart.platform.store.StoredObject;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.process.Clocks;

/**
 * Applies the store's quarantine records to the quarantine.
 * <p>
 * Invariant: an invalid record quarantines no request, and does not affect the others.
 * Not thread-safe: confined to the event loop.
 */
final class QuarantineSink implements ObjectSink {

	private final Map<Fingerprint, Long> untilMs = new HashMap<>();

	private final Set<String> invalid = new HashSet<>();

	private final Quarantine quarantine;

	private final EventLoop loop;

	private final NodeLog log;

	QuarantineSink(Quarantine quarantine, EventLoop loop, NodeLog log) {
		this.quarantine = quarantine;
		this.loop = loop;
		this.log = log;
	}

	@Override
	public void onAll(List<StoredObject> objects) {
		this.untilMs.clear();
		objects.forEach(this::put);
		apply();
	}

	@Override
	public void onChanges(List<ObjectChange> changes) {
		for (ObjectChange change : changes) {
			QuarantineRecords.fingerprint(change.object()).peek(this.untilMs::remove);
			if (change.removed()) {
				QuarantineRecords.fingerprint(change.object()).peek(this::lift);
			}
			else {
				put(change.object());
			}
		}
		apply();
	}

	// The record may have been removed before it was ever seen in a list.
	private void lift(Fingerprint fingerprint) {
		if (this.quarantine.lift(fingerprint)) {
			this.log.event(EventCode.QUARANTINE_CHANGED, "by", "removal", "requests", List.of(fingerprint.shortText()));
		}
	}

	private void put(StoredObject object) {
		QuarantineRecords.fingerprint(object)
			.flatMap((fingerprint) -> QuarantineRecords.untilMs(object)
				.peek((until) -> this.untilMs.put(fingerprint, toMonotonicMs(until))))
			.peekLeft((reason) -> reportInvalid(object.name(), reason));
	}

	private void reportInvalid(String name, String reason) {
		if (this.invalid.add(name)) {
			this.log.event(EventCode.QUARANTINE_UNREADABLE, "object", name, "reason", reason);
		}
	}

	// Wall clocks may differ, so the time is limited to the duration of a quarantine.
	private long toMonotonicMs(long wallMs) {
		long remainingMs = Math.min(wallMs - Clocks.SYSTEM.wallMs(), Quarantine.DURATION_MS);
		return this.loop.nowMs() + Math.max(remainingMs, 0);
	}

	private void apply() {
		if (this.quarantine.replaceStored(this.untilMs)) {
			this.log.event(EventCode.QUARANTINE_CHANGED, "by", "store", "requests",
					this.untilMs.keySet().stream().map(Fingerprint::shortText).toList());
		}
	}

}
