package org.tallycart.node.store;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.tallycart.wire.message.Feed;

/**
 * The VMs to which this one relays the objects of the store.
 * <p>
 * Not thread-safe: confined to the event loop.
 */
final class Subscribers {

	/**
	 * Time without a heartbeat request after which a subscription expires, in
	 * milliseconds; subscribers send five a second.
	 */
	private static final long EXPIRY_MS = 1_500;

	/**
	 * Minimum time between two snapshots of a feed to one VM, in milliseconds: the first
	 * may be in transit when the VM requests it again.
	 */
	private static final long SNAPSHOT_INTERVAL_MS = 600;

	private final Map<String, Subscriber> subscribers = new HashMap<>();

	// Returns whether the subscription is new.
	boolean onRequest(String vm, long nowMs) {
		Subscriber subscriber = this.subscribers.computeIfAbsent(vm, (key) -> new Subscriber());
		boolean isNew = subscriber.lastRequestMs == null || nowMs - subscriber.lastRequestMs > EXPIRY_MS;
		subscriber.lastRequestMs = nowMs;
		return isNew;
	}

	// Returns whether a snapshot is due for a VM that lacks objects of a feed; if so,
	// records it as sent.
	boolean markSnapshotIfDue(String vm, Feed feed, long nowMs) {
		Subscriber subscriber = this.subscribers.computeIfAbsent(vm, (key) -> new Subscriber());
		Long lastSent = subscriber.snapshotSentMs.get(feed);
		boolean due = lastSent == null || nowMs - lastSent >= SNAPSHOT_INTERVAL_MS;
		if (due) {
			subscriber.snapshotSentMs.put(feed, nowMs);
		}
		return due;
	}

	List<String> current(long nowMs) {
		this.subscribers.values()
			.removeIf((subscriber) -> subscriber.lastRequestMs != null && nowMs - subscriber.lastRequestMs > EXPIRY_MS);
		return new ArrayList<>(this.subscribers.keySet());
	}

	/** The state of one subscription. */
	private static final class Subscriber {

		private final Map<Feed, Long> snapshotSentMs = new EnumMap<>(Feed.class);

		private @Nullable Long lastRequestMs;

	}

}
