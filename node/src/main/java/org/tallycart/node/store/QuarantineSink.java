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
 * Keeps the requests of the quarantine's records away from upstreams.
 * <p>
 * Invariant: a record that cannot be read keeps no request away, and does not touch the
 * others. Not thread-safe: belongs to the event loop.
 */
final class QuarantineSink implements ObjectSink {

	private final Map<Fingerprint, Long> untilMs = new HashMap<>();

	private final Set<String> unreadable = new HashSet<>();

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
		objects.forEach(this::take);
		apply();
	}

	@Override
	public void onChanges(List<ObjectChange> changes) {
		for (ObjectChange change : changes) {
			QuarantineRecords.fingerprint(change.object()).peek(this.untilMs::remove);
			if (change.gone()) {
				QuarantineRecords.fingerprint(change.object()).peek(this::lift);
			}
			else {
				take(change.object());
			}
		}
		apply();
	}

	// Also where its record came and went so soon that it was never seen in the list.
	private void lift(Fingerprint fingerprint) {
		if (this.quarantine.lift(fingerprint)) {
			this.log.event(EventCode.QUARANTINE_CHANGED, "by", "removal", "requests", List.of(fingerprint.shortText()));
		}
	}

	private void take(StoredObject object) {
		QuarantineRecords.fingerprint(object)
			.flatMap((fingerprint) -> QuarantineRecords.untilMs(object)
				.peek((until) -> this.untilMs.put(fingerprint, steady(until))))
			.peekLeft((reason) -> onUnreadable(object.name(), reason));
	}

	private void onUnreadable(String name, String reason) {
		if (this.unreadable.add(name)) {
			this.log.event(EventCode.QUARANTINE_UNREADABLE, "object", name, "reason", reason);
		}
	}

	// Clocks may differ by seconds, or be wrong: no record holds longer than a term.
	private long steady(long wallMs) {
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
