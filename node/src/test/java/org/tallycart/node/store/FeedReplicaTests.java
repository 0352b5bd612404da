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
import org.tallycart.platform.store.StorePosition;
import org.tallycart.platform.store.StoredObject;
import org.tallycart.runtime.process.TaskFailureHandler;
import org.tallycart.wire.message.Feed;
import org.tallycart.wire.message.FeedUpdate;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for {@link FeedReplica}, in virtual time.
 * <p>
 * Guards against an object that stays on one VM for good after a rollback of the store:
 * its overrides expire while it no longer reads the store, and its source is at the same
 * position in the store's history.
 */
public class FeedReplicaTests {

	/** Time after which overrides expire, in milliseconds. */
	private static final long OVERRIDE_MS = 2_200;

	private static final long DELAY_MS = 850;

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final Map<String, StoredObject> store = new HashMap<>();

	private StorePosition storePosition = new StorePosition(0, 10);

	private long nowMs;

	@BeforeMethod
	void begin() {
		this.channel.freezeTime();
		this.nowMs = 0;
		this.store.clear();
		put("a", 4);
		put("dead", 9);
		this.storePosition = new StorePosition(0, 10);
	}

	@AfterMethod
	void end() {
		this.channel.close();
	}

	private void put(String name, long revision) {
		this.store.put(name, StoredObject.parse(name, revision, "{}").get());
		this.storePosition = new StorePosition(this.storePosition.era(),
				Math.max(revision, this.storePosition.revision()));
	}

	private void rollBackWithout(String name, long revision) {
		this.store.remove(name);
		this.storePosition = new StorePosition(this.storePosition.era() + 1, revision);
	}

	private void run(long ms) {
		this.nowMs += ms;
		this.channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
		this.channel.runPendingTasks();
	}

	@Test
	void aVmThatStopsReadingBeforeItsOverridesExpireLearnsOfARemovalFromItsSource() {
		Vm first = new Vm();
		Vm second = new Vm();
		first.replica.startReading();
		second.replica.startReading();
		rollBackWithout("dead", 5);
		first.replica.startReading();
		run(DELAY_MS);
		put("b", 6);
		first.replica.startReading();
		second.replica.startReading();
		assertEquals(second.objectNames(), Set.of("a", "b", "dead"));
		run(OVERRIDE_MS - DELAY_MS);
		assertEquals(first.objectNames(), Set.of("a", "b"));
		second.replica.stopReading();
		sendRequests(second, first, DELAY_MS * 2);
		assertEquals(second.objectNames(), Set.of("a", "b"));
	}

	/** The subscriber changes to a source whose overrides have expired already. */
	@Test
	void aSubscriberThatReceivedOverridesLearnsOfARemovalFromItsNextSource() {
		Vm first = new Vm();
		Vm next = new Vm();
		Vm subscriber = new Vm();
		List.of(first, next).forEach((vm) -> vm.replica.startReading());
		rollBackWithout("dead", 5);
		next.replica.startReading();
		run(DELAY_MS);
		first.replica.startReading();
		sendRequests(subscriber, first, 1);
		assertEquals(subscriber.objectNames(), Set.of("a", "dead"));
		run(OVERRIDE_MS);
		sendRequests(subscriber, next, DELAY_MS * 2);
		assertEquals(subscriber.objectNames(), Set.of("a"));
	}

	/** The source has started after the rollback, and has read only the backup. */
	@Test
	void overridesAreNotDroppedForTheBackupBeforeTheyExpire() {
		Vm started = new Vm();
		Vm second = new Vm();
		second.replica.startReading();
		rollBackWithout("dead", 5);
		second.replica.startReading();
		second.replica.stopReading();
		started.replica.startReading();
		sendRequests(second, started, OVERRIDE_MS / 2);
		assertEquals(second.objectNames(), Set.of("a", "dead"));
	}

	// Sends heartbeat requests, and snapshots if they are needed.
	private void sendRequests(Vm requester, Vm responder, long ms) {
		for (long elapsedMs = 0; elapsedMs < ms; elapsedMs += 200) {
			if (responder.replica.isNeededBy(requester.replica.revision())) {
				requester.replica.onUpdate(responder.replica.snapshot());
			}
			run(Math.min(200, ms));
		}
	}

	/** A VM with its replica. */
	private final class Vm {

		private final Set<String> names = new TreeSet<>();

		private final FeedReplica replica;

		private Vm() {
			NodeLog log = new NodeLog(() -> FeedReplicaTests.this.nowMs);
			EventLoop loop = new EventLoop(FeedReplicaTests.this.channel.eventLoop(),
					TaskFailureHandler.install((code, detail) -> {
						throw new IllegalStateException(detail);
					}), () -> FeedReplicaTests.this.nowMs);
			this.replica = new FeedReplica(Feed.UPSTREAMS, new Sink(this.names), Source::new, loop, log, (sentMs) -> {
			}, (FeedUpdate update) -> {
			});
		}

		Set<String> objectNames() {
			return this.names;
		}

	}

	/** Lists the store at once; changes are seen in the next list. */
	private final class Source implements ObjectSource {

		private final FeedListener listener;

		private Source(FeedListener listener) {
			this.listener = listener;
		}

		@Override
		public void restart() {
			this.listener.onList(new ArrayList<>(FeedReplicaTests.this.store.values()),
					FeedReplicaTests.this.storePosition);
		}

		@Override
		public void stop() {
			// Lists complete at once.
		}

	}

	/** Collects the names of the effective objects. */
	private record Sink(Set<String> names) implements ObjectSink {

		@Override
		public void onAll(List<StoredObject> objects) {
			this.names.clear();
			objects.forEach((object) -> this.names.add(object.name()));
		}

		@Override
		public void onChanges(List<ObjectChange> changes) {
			changes.forEach((change) -> {
				if (change.removed()) {
					this.names.remove(change.object().name());
				}
				else {
					this.names.add(change.object().name());
				}
			});
		}

	}

}
