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

import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.platform.store.FeedListener;
import org.tallycart.platform.store.ObjectChange;
import org.tallycart.platform.store.ObjectSource;
import org.tallycart.platform.store.StoreError;
import org.tallycart.platform.store.StorePoint;
import org.tallycart.platform.store.StoredObject;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.wire.message.Feed;
import org.tallycart.wire.message.FeedObject;
import org.tallycart.wire.message.FeedRevision;
import org.tallycart.wire.message.FeedUpdate;

/**
 * One kind of object, as this VM knows it: read from the store, or passed on by another
 * VM.
 * <p>
 * Invariant: its point in the store's course only rises, and updates that lead to no
 * later one, or do not continue what is known, change nothing. After the store has come
 * back from an older copy, a list of the new era replaces what is known, but for what is
 * newer than the copy, see {@link RollbackOverrides}. Not thread-safe: belongs to the
 * event loop.
 */
final class FeedReplica implements FeedListener {

	/**
	 * When operators and upstreams have written again what an older copy lacks, in
	 * milliseconds: the platform names about two seconds.
	 */
	private static final long REWRITTEN_MS = 2_200;

	private final Feed feed;

	private final ObjectSource source;

	private final ObjectSink sink;

	private final Runnable onContact;

	private final Consumer<FeedUpdate> publisher;

	private final EventLoop loop;

	private final NodeLog log;

	private final RollbackOverrides copy;

	private final Map<String, StoredObject> objects = new HashMap<>();

	private StorePoint point = StorePoint.UNKNOWN;

	// Until when something is believed against an older copy; empty if nothing is, or
	// for good.
	private OptionalLong keptUntilMs = OptionalLong.empty();

	private boolean following;

	private boolean lost;

	FeedReplica(Feed feed, ObjectSink sink, Function<FeedListener, ObjectSource> source, EventLoop loop, NodeLog log,
			Runnable onContact, Consumer<FeedUpdate> publisher) {
		this.feed = feed;
		this.source = source.apply(this);
		this.sink = sink;
		this.onContact = onContact;
		this.publisher = publisher;
		this.loop = loop;
		this.log = log;
		this.copy = new RollbackOverrides(rewrittenWithinMs(feed));
	}

	Feed feed() {
		return this.feed;
	}

	// A configuration never goes back, and findings are written again by this system.
	private static OptionalLong rewrittenWithinMs(Feed feed) {
		return switch (feed) {
			case CONFIGURATION, QUARANTINE -> OptionalLong.empty();
			default -> OptionalLong.of(REWRITTEN_MS);
		};
	}

	StorePoint point() {
		return this.point;
	}

	boolean known() {
		return !this.point.equals(StorePoint.UNKNOWN);
	}

	/**
	 * Return what this VM says of this kind to the one that is to pass it on.
	 * @return up to where it is known
	 */
	FeedRevision question() {
		return FeedRevision.newBuilder()
			.setFeed(this.feed)
			.setEra(this.point.era())
			.setRevision(this.point.revision())
			.setOverdue(overdue())
			.build();
	}

	private boolean overdue() {
		return this.keptUntilMs.isPresent() && this.loop.nowMs() >= this.keptUntilMs.getAsLong();
	}

	/**
	 * Return whether another VM has to be sent all of this kind. At the same point of the
	 * store's course it may still believe what this VM no longer does.
	 * @param asked what it says of a kind, which may be another one
	 * @return true if it knows less than this VM, or believes what has ended
	 */
	boolean lackedBy(FeedRevision asked) {
		StorePoint has = new StorePoint(asked.getEra(), asked.getRevision());
		boolean corrects = asked.getOverdue() && this.keptUntilMs.isEmpty() && !this.point.before(has);
		return asked.getFeed() == this.feed && (has.before(this.point) || corrects);
	}

	// How many objects are kept against an older copy.
	int kept() {
		return this.copy.count();
	}

	void follow() {
		this.following = true;
		this.source.renew();
	}

	// Reads what there is in an era, unless it has been read already.
	void followSince(long era) {
		if (this.point.era() < era) {
			follow();
		}
	}

	void stopFollowing() {
		this.following = false;
		this.source.stop();
	}

	@Override
	public void onList(List<StoredObject> listed, StorePoint listPoint) {
		if (listPoint.before(this.point)) {
			return;
		}
		long now = this.loop.nowMs();
		boolean newEra = known() && listPoint.era() > this.point.era();
		if (newEra) {
			this.copy.begin(this.objects, listed, this.sink::later, now);
			this.copy.dueMs(now).ifPresent((ms) -> this.loop.schedule(ms, this::listIfFollowing));
		}
		List<StoredObject> believed = this.copy.apply(listed, now);
		this.keptUntilMs = until(this.copy.dueMs(now));
		boolean same = known() && !newEra && sameAs(believed);
		takeAll(believed);
		if (!same) {
			this.point = listPoint;
			this.publisher.accept(whole());
		}
	}

	private OptionalLong until(OptionalLong leftMs) {
		return leftMs.isPresent() ? OptionalLong.of(this.loop.nowMs() + leftMs.getAsLong()) : OptionalLong.empty();
	}

	private void listIfFollowing() {
		if (this.following) {
			this.source.renew();
		}
	}

	private boolean sameAs(List<StoredObject> listed) {
		return listed.size() == this.objects.size() && listed.stream().allMatch((object) -> {
			StoredObject known = this.objects.get(object.name());
			return known != null && known.revision() == object.revision();
		});
	}

	private void takeAll(List<StoredObject> all) {
		Set<String> missing = new HashSet<>(this.objects.keySet());
		all.forEach((object) -> missing.remove(object.name()));
		missing.forEach((name) -> this.copy.onGone(name, this.loop.nowMs()));
		this.objects.clear();
		all.forEach((object) -> this.objects.put(object.name(), object));
		this.sink.onAll(all);
	}

	@Override
	public void onChanges(List<ObjectChange> changes, StorePoint reached) {
		StorePoint from = this.point;
		this.copy.onChanges(changes);
		takeChanges(changes, reached);
		this.publisher
			.accept(update(from, false).addAllObjects(changes.stream().map(FeedReplica::encode).toList()).build());
	}

	private void takeChanges(List<ObjectChange> changes, StorePoint reached) {
		for (ObjectChange change : changes) {
			if (change.gone()) {
				this.objects.remove(change.object().name());
				this.copy.onGone(change.object().name(), this.loop.nowMs());
			}
			else {
				this.objects.put(change.object().name(), change.object());
			}
		}
		this.point = reached.before(this.point) ? this.point : reached;
		this.sink.onChanges(changes);
	}

	@Override
	public void onLost(StoreError error) {
		if (!this.lost) {
			this.lost = true;
			this.log.event(EventCode.STORE_LOST, "feed", this.feed, "error", error.kind(), "detail", error.detail());
		}
		this.sink.onStoreLost();
	}

	// The store gave this VM no answer, though it does not follow it.
	void onSilent() {
		this.sink.onStoreLost();
	}

	// The VM that passes on what the store says does so again.
	void onTold() {
		this.sink.onStoreReached();
	}

	@Override
	public void onReached() {
		if (this.lost) {
			this.lost = false;
			this.log.event(EventCode.STORE_BACK, "feed", this.feed);
		}
		this.sink.onStoreReached();
		this.onContact.run();
	}

	/**
	 * Return all that is known, to be passed on.
	 * @return an update that needs none before it
	 */
	FeedUpdate whole() {
		List<FeedObject> all = this.objects.values()
			.stream()
			.map((object) -> encode(new ObjectChange(object, false)))
			.toList();
		return update(StorePoint.UNKNOWN, true).addAllObjects(all).build();
	}

	private FeedUpdate.Builder update(StorePoint from, boolean whole) {
		return FeedUpdate.newBuilder()
			.setFeed(this.feed)
			.setWhole(whole)
			.setFromRevision(from.revision())
			.setEra(this.point.era())
			.setRevision(this.point.revision())
			.setUntrustedMs((int) this.sink.untrustedMs())
			.setKeptMs((int) keptMs());
	}

	// For how much longer something is believed against an older copy. What is overdue is
	// passed on as what ends at once.
	private long keptMs() {
		return this.keptUntilMs.isPresent() ? Math.max(this.keptUntilMs.getAsLong() - this.loop.nowMs(), 1) : 0;
	}

	private static FeedObject encode(ObjectChange change) {
		StoredObject object = change.object();
		return FeedObject.newBuilder()
			.setName(object.name())
			.setRevision(object.revision())
			.setContent(object.content())
			.setGone(change.gone())
			.build();
	}

	/**
	 * Take what another VM passes on, and pass it on in turn.
	 * @param update the update
	 */
	void onUpdate(FeedUpdate update) {
		StorePoint reached = new StorePoint(update.getEra(), update.getRevision());
		boolean sameEra = known() && reached.era() == this.point.era();
		boolean continues = update.getWhole() || (sameEra && update.getFromRevision() <= this.point.revision());
		boolean again = reached.equals(this.point);
		if (reached.before(this.point) || !continues || (again && !update.getWhole())) {
			return;
		}
		List<ObjectChange> changes = decode(update);
		if (update.getWhole()) {
			this.keptUntilMs = until(
					(update.getKeptMs() > 0) ? OptionalLong.of(update.getKeptMs()) : OptionalLong.empty());
		}
		// What was kept against an older copy may end without a change in the store.
		if (again && sameAs(objects(changes))) {
			return;
		}
		if (update.getUntrustedMs() > 0) {
			this.sink.distrust(update.getUntrustedMs());
		}
		if (update.getWhole()) {
			this.point = reached;
			takeAll(objects(changes));
		}
		else {
			takeChanges(changes, reached);
		}
		this.publisher.accept(update);
	}

	private List<ObjectChange> decode(FeedUpdate update) {
		List<ObjectChange> changes = new ArrayList<>();
		for (FeedObject object : update.getObjectsList()) {
			StoredObject.of(object.getName(), object.getRevision(), object.getContent())
				.peek((decoded) -> changes.add(new ObjectChange(decoded, object.getGone())))
				.peekLeft((reason) -> this.log.event(EventCode.CONFIG_REJECTED, "feed", this.feed, "reason", reason));
		}
		return changes;
	}

	private static List<StoredObject> objects(List<ObjectChange> changes) {
		return changes.stream().map(ObjectChange::object).toList();
	}

}
