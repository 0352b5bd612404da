package org.tallycart.node.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

import org.tallycart.node.log.NodeLog;
import org.tallycart.platform.store.FeedListener;
import org.tallycart.platform.store.ObjectChange;
import org.tallycart.platform.store.ObjectFeed;
import org.tallycart.platform.store.StoreError;
import org.tallycart.platform.store.StoredObject;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.wire.message.Feed;
import org.tallycart.wire.message.FeedObject;
import org.tallycart.wire.message.FeedUpdate;

/**
 * One kind of object, as this VM knows it: read from the store, or passed on by another
 * VM.
 * <p>
 * Invariant: its revision only rises, and updates that lead to no later one, or do not
 * continue what is known, change nothing. Not thread-safe: belongs to the event loop.
 */
final class FollowedKind implements FeedListener {

	private static final long UNKNOWN = -1;

	private final Feed feed;

	private final ObjectFeed source;

	private final ObjectSink sink;

	private final Runnable onContact;

	private final Consumer<FeedUpdate> publisher;

	private final NodeLog log;

	private final Map<String, StoredObject> objects = new HashMap<>();

	private long revision = UNKNOWN;

	private boolean lost;

	FollowedKind(Feed feed, ObjectSink sink, Function<FeedListener, ObjectFeed> source, NodeLog log, Runnable onContact,
			Consumer<FeedUpdate> publisher) {
		this.feed = feed;
		this.source = source.apply(this);
		this.sink = sink;
		this.onContact = onContact;
		this.publisher = publisher;
		this.log = log;
	}

	Feed feed() {
		return this.feed;
	}

	long revision() {
		return this.revision;
	}

	boolean known() {
		return this.revision != UNKNOWN;
	}

	void follow() {
		this.source.renew();
	}

	void stopFollowing() {
		this.source.stop();
	}

	@Override
	public void onList(List<StoredObject> listed, long listRevision) {
		if (listRevision < this.revision) {
			return;
		}
		boolean same = known() && sameAs(listed);
		takeAll(listed);
		if (!same) {
			this.revision = listRevision;
			this.publisher.accept(whole());
		}
	}

	private boolean sameAs(List<StoredObject> listed) {
		return listed.size() == this.objects.size() && listed.stream().allMatch((object) -> {
			StoredObject known = this.objects.get(object.name());
			return known != null && known.revision() == object.revision();
		});
	}

	private void takeAll(List<StoredObject> all) {
		this.objects.clear();
		all.forEach((object) -> this.objects.put(object.name(), object));
		this.sink.onAll(all);
	}

	@Override
	public void onChanges(List<ObjectChange> changes, long reached) {
		long from = this.revision;
		takeChanges(changes, reached);
		this.publisher
			.accept(update(from, false).addAllObjects(changes.stream().map(FollowedKind::encode).toList()).build());
	}

	private void takeChanges(List<ObjectChange> changes, long reached) {
		for (ObjectChange change : changes) {
			if (change.gone()) {
				this.objects.remove(change.object().name());
			}
			else {
				this.objects.put(change.object().name(), change.object());
			}
		}
		this.revision = Math.max(reached, this.revision);
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
		return update(UNKNOWN, true).addAllObjects(all).build();
	}

	private FeedUpdate.Builder update(long from, boolean whole) {
		return FeedUpdate.newBuilder()
			.setFeed(this.feed)
			.setWhole(whole)
			.setFromRevision(from)
			.setRevision(this.revision)
			.setUntrustedMs((int) this.sink.untrustedMs());
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
		boolean continues = update.getWhole() || (known() && update.getFromRevision() <= this.revision);
		if (update.getRevision() <= this.revision || !continues) {
			return;
		}
		List<ObjectChange> changes = new ArrayList<>();
		for (FeedObject object : update.getObjectsList()) {
			StoredObject.of(object.getName(), object.getRevision(), object.getContent())
				.peek((decoded) -> changes.add(new ObjectChange(decoded, object.getGone())))
				.peekLeft((reason) -> this.log.event(EventCode.CONFIG_REJECTED, "feed", this.feed, "reason", reason));
		}
		if (update.getUntrustedMs() > 0) {
			this.sink.distrust(update.getUntrustedMs());
		}
		if (update.getWhole()) {
			this.revision = update.getRevision();
			takeAll(changes.stream().map(ObjectChange::object).toList());
		}
		else {
			takeChanges(changes, update.getRevision());
		}
		this.publisher.accept(update);
	}

}
