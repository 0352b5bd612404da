package org.tallycart.node.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;

import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.platform.store.FeedListener;
import org.tallycart.platform.store.ObjectChange;
import org.tallycart.platform.store.ObjectSource;
import org.tallycart.platform.store.StoreError;
import org.tallycart.platform.store.StorePosition;
import org.tallycart.platform.store.StoredObject;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.wire.message.Feed;
import org.tallycart.wire.message.FeedObject;
import org.tallycart.wire.message.FeedRevision;
import org.tallycart.wire.message.FeedUpdate;

/**
 * Replica of one kind of object on this VM, read from the store or relayed by another VM.
 * <p>
 * Invariant: its position in the store's history only advances; an update that leads to
 * no later position, or leaves a gap, changes nothing. After a rollback of the store, a
 * list of the new era replaces the replica, except for objects that are newer than the
 * backup, see {@link RollbackOverrides}. Not thread-safe: confined to the event loop.
 */
final class FeedReplica implements FeedListener {

	/**
	 * Time after a rollback within which operators and upstreams write lost objects
	 * again, in milliseconds; the platform states about two seconds.
	 */
	private static final long REWRITE_PERIOD_MS = 2_200;

	private final Feed feed;

	private final ObjectSource source;

	private final ObjectSink sink;

	private final LongConsumer onStoreAvailable;

	private final Consumer<FeedUpdate> publisher;

	private final EventLoop loop;

	private final NodeLog log;

	private final RollbackOverrides overrides;

	private final Map<String, StoredObject> objects = new HashMap<>();

	private StorePosition position = StorePosition.UNKNOWN;

	// When the overrides expire; empty if there are none, or they do not expire.
	private OptionalLong overridesEndMs = OptionalLong.empty();

	private boolean reading;

	private boolean storeLost;

	private long requestedMs;

	/**
	 * Create an empty replica.
	 * @param feed the kind of object
	 * @param sink receives the objects
	 * @param source creates the source that reads the store for a listener
	 * @param loop the event loop
	 * @param log the event log
	 * @param onStoreAvailable receives the time at which a call was sent that the store
	 * has answered, before its contents are applied
	 * @param publisher receives updates to be relayed
	 */
	FeedReplica(Feed feed, ObjectSink sink, Function<FeedListener, ObjectSource> source, EventLoop loop, NodeLog log,
			LongConsumer onStoreAvailable, Consumer<FeedUpdate> publisher) {
		this.feed = feed;
		this.source = source.apply(this);
		this.sink = sink;
		this.onStoreAvailable = onStoreAvailable;
		this.publisher = publisher;
		this.loop = loop;
		this.log = log;
		this.overrides = new RollbackOverrides(overrideDurationMs(feed));
	}

	Feed feed() {
		return this.feed;
	}

	// Configuration versions never decrease, and VMs write quarantine records again.
	private static OptionalLong overrideDurationMs(Feed feed) {
		return switch (feed) {
			case CONFIGURATION, QUARANTINE -> OptionalLong.empty();
			default -> OptionalLong.of(REWRITE_PERIOD_MS);
		};
	}

	StorePosition position() {
		return this.position;
	}

	boolean isLoaded() {
		return !this.position.equals(StorePosition.UNKNOWN);
	}

	/**
	 * Return the state of this replica, for a heartbeat request to the VM that relays it.
	 * @return its position, and whether its overrides have expired
	 */
	FeedRevision revision() {
		return FeedRevision.newBuilder()
			.setFeed(this.feed)
			.setEra(this.position.era())
			.setRevision(this.position.revision())
			.setOverdue(overridesExpired())
			.build();
	}

	private boolean overridesExpired() {
		return this.overridesEndMs.isPresent() && this.loop.nowMs() >= this.overridesEndMs.getAsLong();
	}

	/**
	 * Return whether another VM needs a snapshot of this replica. At the same position in
	 * the store's history it may still have overrides that this VM has dropped.
	 * @param other the state of the other VM's replica, of this kind or another one
	 * @return true if it is of this kind and behind this one, or has expired overrides
	 */
	boolean isNeededBy(FeedRevision other) {
		StorePosition otherPosition = new StorePosition(other.getEra(), other.getRevision());
		boolean correctsOther = other.getOverdue() && this.overridesEndMs.isEmpty()
				&& !this.position.isBefore(otherPosition);
		return other.getFeed() == this.feed && (otherPosition.isBefore(this.position) || correctsOther);
	}

	/**
	 * Return whether another VM's replica is at another position than this one.
	 * @param other the state of the other VM's replica, of this kind or another one
	 * @return true if it is of this kind and at an earlier or a later position
	 */
	boolean differsFrom(FeedRevision other) {
		return other.getFeed() == this.feed
				&& !this.position.equals(new StorePosition(other.getEra(), other.getRevision()));
	}

	// Returns the number of objects that differ from the restored store.
	int overrideCount() {
		return this.overrides.count();
	}

	/**
	 * Return whether this VM reads the store, and the last read of these objects failed.
	 * @return true from the first failed read to the next successful one
	 */
	boolean isReadFailing() {
		return this.reading && this.storeLost;
	}

	void startReading() {
		this.reading = true;
		this.source.restart();
	}

	// Starts to read, unless the era has been read already.
	void startReadingEra(long era) {
		if (this.position.era() < era) {
			startReading();
		}
	}

	// Called when this VM subscribes to another one.
	void stopReading() {
		this.reading = false;
		this.storeLost = false;
		this.source.stop();
	}

	@Override
	public void onList(List<StoredObject> listed, StorePosition listPosition) {
		if (listPosition.isBefore(this.position)) {
			return;
		}
		long now = this.loop.nowMs();
		boolean newEra = isLoaded() && listPosition.era() > this.position.era();
		if (newEra) {
			this.overrides.onRollback(this.objects, listed, this.sink::isNewer, now);
			this.overrides.remainingMs(now).ifPresent((ms) -> this.loop.schedule(ms, this::listIfReading));
		}
		List<StoredObject> effective = this.overrides.apply(listed, now);
		this.overridesEndMs = deadline(this.overrides.remainingMs(now));
		boolean unchanged = isLoaded() && !newEra && matches(effective);
		replaceAll(effective);
		if (!unchanged) {
			this.position = listPosition;
			this.publisher.accept(snapshot());
		}
	}

	private OptionalLong deadline(OptionalLong remainingMs) {
		return remainingMs.isPresent() ? OptionalLong.of(this.loop.nowMs() + remainingMs.getAsLong())
				: OptionalLong.empty();
	}

	private void listIfReading() {
		if (this.reading) {
			this.source.restart();
		}
	}

	private boolean matches(List<StoredObject> listed) {
		return listed.size() == this.objects.size() && listed.stream().allMatch((object) -> {
			StoredObject local = this.objects.get(object.name());
			return local != null && local.revision() == object.revision();
		});
	}

	private void replaceAll(List<StoredObject> all) {
		Set<String> removed = new HashSet<>(this.objects.keySet());
		all.forEach((object) -> removed.remove(object.name()));
		removed.forEach((name) -> this.overrides.onRemoved(name, this.loop.nowMs()));
		this.objects.clear();
		all.forEach((object) -> this.objects.put(object.name(), object));
		this.sink.onAll(all);
	}

	@Override
	public void onChanges(List<ObjectChange> changes, StorePosition reached) {
		StorePosition from = this.position;
		this.overrides.onChanges(changes);
		applyChanges(changes, reached);
		this.publisher
			.accept(update(from, false).addAllObjects(changes.stream().map(FeedReplica::encode).toList()).build());
	}

	private void applyChanges(List<ObjectChange> changes, StorePosition reached) {
		for (ObjectChange change : changes) {
			if (change.removed()) {
				this.objects.remove(change.object().name());
				this.overrides.onRemoved(change.object().name(), this.loop.nowMs());
			}
			else {
				this.objects.put(change.object().name(), change.object());
			}
		}
		this.position = reached.isBefore(this.position) ? this.position : reached;
		this.sink.onChanges(changes);
	}

	@Override
	public void onRequest() {
		this.requestedMs = this.loop.nowMs();
	}

	@Override
	public void onFailure(StoreError error) {
		if (!this.storeLost) {
			this.storeLost = true;
			this.log.event(EventCode.STORE_LOST, "feed", this.feed, "error", error.kind(), "detail", error.detail());
		}
	}

	// Drops vanished objects that are no longer retained.
	void expire() {
		this.sink.expire();
	}

	@Override
	public void onSuccess() {
		if (this.storeLost) {
			this.storeLost = false;
			this.log.event(EventCode.STORE_BACK, "feed", this.feed);
		}
		this.onStoreAvailable.accept(this.requestedMs);
	}

	/**
	 * Return the whole replica, to be relayed.
	 * @return an update that does not depend on earlier ones
	 */
	FeedUpdate snapshot() {
		List<FeedObject> all = this.objects.values()
			.stream()
			.map((object) -> encode(new ObjectChange(object, false)))
			.toList();
		return update(StorePosition.UNKNOWN, true).addAllObjects(all).build();
	}

	// Only VMs of earlier versions read the remaining grace period.
	private FeedUpdate.Builder update(StorePosition from, boolean snapshot) {
		return FeedUpdate.newBuilder()
			.setFeed(this.feed)
			.setWhole(snapshot)
			.setFromRevision(from.revision())
			.setEra(this.position.era())
			.setRevision(this.position.revision())
			.setUntrustedMs((int) this.sink.remainingGraceMs())
			.setKeptMs((int) remainingOverrideMs());
	}

	// Expired overrides are relayed with the shortest time, since 0 means none.
	private long remainingOverrideMs() {
		return this.overridesEndMs.isPresent() ? Math.max(this.overridesEndMs.getAsLong() - this.loop.nowMs(), 1) : 0;
	}

	private static FeedObject encode(ObjectChange change) {
		StoredObject object = change.object();
		return FeedObject.newBuilder()
			.setName(object.name())
			.setRevision(object.revision())
			.setContent(object.content())
			.setGone(change.removed())
			.build();
	}

	/**
	 * Apply an update that another VM relays, and relay it in turn.
	 * @param update the update
	 */
	void onUpdate(FeedUpdate update) {
		StorePosition reached = new StorePosition(update.getEra(), update.getRevision());
		boolean sameEra = isLoaded() && reached.era() == this.position.era();
		boolean contiguous = update.getWhole() || (sameEra && update.getFromRevision() <= this.position.revision());
		boolean samePosition = reached.equals(this.position);
		if (reached.isBefore(this.position) || !contiguous || (samePosition && !update.getWhole())) {
			return;
		}
		List<ObjectChange> changes = decode(update);
		if (update.getWhole()) {
			this.overridesEndMs = deadline(
					(update.getKeptMs() > 0) ? OptionalLong.of(update.getKeptMs()) : OptionalLong.empty());
		}
		// A snapshot of the same position differs if overrides have expired.
		if (samePosition && matches(objects(changes))) {
			return;
		}
		if (update.getWhole()) {
			this.position = reached;
			replaceAll(objects(changes));
		}
		else {
			applyChanges(changes, reached);
		}
		this.publisher.accept(update);
	}

	private List<ObjectChange> decode(FeedUpdate update) {
		List<ObjectChange> changes = new ArrayList<>();
		for (FeedObject object : update.getObjectsList()) {
			StoredObject.parse(object.getName(), object.getRevision(), object.getContent())
				.peek((decoded) -> changes.add(new ObjectChange(decoded, object.getGone())))
				.peekLeft((reason) -> this.log.event(EventCode.CONFIG_REJECTED, "feed", this.feed, "reason", reason));
		}
		return changes;
	}

	private static List<StoredObject> objects(List<ObjectChange> changes) {
		return changes.stream().map(ObjectChange::object).toList();
	}

}
