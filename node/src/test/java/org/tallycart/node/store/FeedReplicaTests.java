package org.tallycart.node.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.platform.store.FeedListener;
import org.tallycart.platform.store.ObjectChange;
import org.tallycart.platform.store.ObjectSource;
import org.tallycart.platform.store.StorePoint;
import org.tallycart.platform.store.StoredObject;
import org.tallycart.runtime.process.Guard;
import org.tallycart.wire.message.Feed;
import org.tallycart.wire.message.FeedUpdate;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for VMs that come to know one kind of object by different ways, in virtual time.
 * <p>
 * Seen, beside a busy machine: after the store had come back from an older copy, an
 * upstream that was gone stayed in use at one of three VMs for good. How it came about:
 * all three read the store, and one noticed the return most of a second later than the
 * others. By the time that its term for what the copy lacks was over, it no longer read
 * the store itself, and so read nothing; and whom it followed had ended its own term
 * before, and had nothing later to tell. Cause: two VMs at the same point of the store's
 * course were taken to believe the same.
 */
public class FeedReplicaTests {

	/** When what a copy lacks has been written again, in milliseconds. */
	private static final long REWRITTEN_MS = 2_200;

	private static final long LATER_MS = 850;

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final Map<String, StoredObject> store = new HashMap<>();

	private StorePoint storePoint = new StorePoint(0, 10);

	private long nowMs;

	@BeforeMethod
	void begin() {
		this.channel.freezeTime();
		this.nowMs = 0;
		this.store.clear();
		put("a", 4);
		put("dead", 9);
		this.storePoint = new StorePoint(0, 10);
	}

	@AfterMethod
	void end() {
		this.channel.close();
	}

	private void put(String name, long revision) {
		this.store.put(name, StoredObject.of(name, revision, "{}").get());
		this.storePoint = new StorePoint(this.storePoint.era(), Math.max(revision, this.storePoint.revision()));
	}

	private void comeBackWithout(String name, long revision) {
		this.store.remove(name);
		this.storePoint = new StorePoint(this.storePoint.era() + 1, revision);
	}

	private void run(long ms) {
		this.nowMs += ms;
		this.channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
		this.channel.runPendingTasks();
	}

	/** Pattern: as seen; see above. */
	@Test
	void aVmThatStopsReadingWithinItsTermLearnsFromItsSourceWhatIsGone() {
		Vm reader = new Vm();
		Vm other = new Vm();
		reader.kind.follow();
		other.kind.follow();
		comeBackWithout("dead", 5);
		reader.kind.follow();
		run(LATER_MS);
		put("b", 6);
		reader.kind.follow();
		other.kind.follow();
		assertEquals(other.known(), Set.of("a", "b", "dead"));
		run(REWRITTEN_MS - LATER_MS);
		assertEquals(reader.known(), Set.of("a", "b"));
		other.kind.stopFollowing();
		askFor(other, reader, LATER_MS * 2);
		assertEquals(other.known(), Set.of("a", "b"));
	}

	/** Pattern: its source changes within the term, to one whose term is over. */
	@Test
	void aVmThatWasToldWhatIsKeptLearnsFromItsNextSourceWhatIsGone() {
		Vm first = new Vm();
		Vm next = new Vm();
		Vm follower = new Vm();
		List.of(first, next).forEach((vm) -> vm.kind.follow());
		comeBackWithout("dead", 5);
		next.kind.follow();
		run(LATER_MS);
		first.kind.follow();
		askFor(follower, first, 1);
		assertEquals(follower.known(), Set.of("a", "dead"));
		run(REWRITTEN_MS);
		askFor(follower, next, LATER_MS * 2);
		assertEquals(follower.known(), Set.of("a"));
	}

	/** Pattern: a source that has started since the return has read only the copy. */
	@Test
	void whatIsKeptIsNotGivenUpForTheCopyBeforeItsTermIsOver() {
		Vm started = new Vm();
		Vm other = new Vm();
		other.kind.follow();
		comeBackWithout("dead", 5);
		other.kind.follow();
		other.kind.stopFollowing();
		started.kind.follow();
		askFor(other, started, REWRITTEN_MS / 2);
		assertEquals(other.known(), Set.of("a", "dead"));
	}

	// One VM asks another as it does five times a second, and is sent what it lacks.
	private void askFor(Vm asker, Vm asked, long ms) {
		for (long spent = 0; spent < ms; spent += 200) {
			if (asked.kind.lackedBy(asker.kind.question())) {
				asker.kind.onUpdate(asked.kind.whole());
			}
			run(Math.min(200, ms));
		}
	}

	/** What one VM knows of the kind. */
	private final class Vm {

		private final Set<String> names = new TreeSet<>();

		private final FeedReplica kind;

		private Vm() {
			NodeLog log = new NodeLog(() -> FeedReplicaTests.this.nowMs);
			EventLoop loop = new EventLoop(FeedReplicaTests.this.channel.eventLoop(), Guard.install((code, detail) -> {
				throw new IllegalStateException(detail);
			}), () -> FeedReplicaTests.this.nowMs);
			this.kind = new FeedReplica(Feed.UPSTREAMS, new Sink(this.names), Source::new, loop, log, () -> {
			}, (FeedUpdate update) -> {
			});
		}

		Set<String> known() {
			return this.names;
		}

	}

	/** Reads the store at once; changes are seen by the next list. */
	private final class Source implements ObjectSource {

		private final FeedListener listener;

		private Source(FeedListener listener) {
			this.listener = listener;
		}

		@Override
		public void renew() {
			this.listener.onList(new ArrayList<>(FeedReplicaTests.this.store.values()),
					FeedReplicaTests.this.storePoint);
		}

		@Override
		public void stop() {
			// Nothing is under way.
		}

	}

	/** Takes what is believed. */
	private record Sink(Set<String> names) implements ObjectSink {

		@Override
		public void onAll(List<StoredObject> objects) {
			this.names.clear();
			objects.forEach((object) -> this.names.add(object.name()));
		}

		@Override
		public void onChanges(List<ObjectChange> changes) {
			changes.forEach((change) -> {
				if (change.gone()) {
					this.names.remove(change.object().name());
				}
				else {
					this.names.add(change.object().name());
				}
			});
		}

	}

}
