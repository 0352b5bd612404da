package org.tallycart.node.store;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.platform.store.FeedListener;
import org.tallycart.platform.store.ObjectSource;
import org.tallycart.platform.store.StoreError;
import org.tallycart.platform.store.StorePosition;
import org.tallycart.platform.store.StoredObject;
import org.tallycart.runtime.process.TaskFailureHandler;
import org.tallycart.wire.message.Feed;
import org.tallycart.wire.message.FeedObject;
import org.tallycart.wire.message.FeedUpdate;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for how long upstreams stay in use after their entries have vanished, in virtual
 * time.
 */
public class UpstreamRetentionTests {

	/** Time from its removal until an upstream may get no more requests. */
	private static final long DRAIN_MS = 2_000;

	private EmbeddedChannel channel = new EmbeddedChannel();

	private UpstreamDirectory directory = new UpstreamDirectory();

	private @Nullable FeedListener store;

	private long nowMs;

	@BeforeMethod
	void begin() {
		this.channel = new EmbeddedChannel();
		this.channel.freezeTime();
		this.directory = new UpstreamDirectory();
		this.nowMs = 0;
	}

	@AfterMethod
	void end() {
		this.channel.close();
	}

	private FeedReplica createReplica() {
		EventLoop loop = new EventLoop(this.channel.eventLoop(), TaskFailureHandler.install((code, detail) -> {
			throw new IllegalStateException(detail);
		}), () -> this.nowMs);
		NodeLog log = new NodeLog(() -> this.nowMs);
		UpstreamSink sink = new UpstreamSink(this.directory, loop, log, new NodeMetrics(), () -> {
		});
		return new FeedReplica(Feed.UPSTREAMS, sink, this::connect, loop, log,
				(sentMs) -> this.directory.onStoreAvailable(sentMs, this.nowMs), (update) -> {
				});
	}

	private ObjectSource connect(FeedListener listener) {
		this.store = listener;
		return new SilentSource();
	}

	private FeedListener store() {
		if (this.store == null) {
			throw new IllegalStateException("the replica has no source");
		}
		return this.store;
	}

	private void answerList(long revision, String... names) {
		store().onRequest();
		store().onSuccess();
		store().onList(
				Arrays.stream(names).map((name) -> StoredObject.parse(name, revision, entry(name)).get()).toList(),
				new StorePosition(0, revision));
	}

	private static String entry(String name) {
		return String.format("""
				{"service":"s","address":"10.0.0.1:%d","zone":"d","version":"v","slots":1,"state":"ready",
				 "cold_left_ms":0,"seq":1}""", 1_000 + name.hashCode());
	}

	private static FeedUpdate removal(String name, long fromRevision) {
		return FeedUpdate.newBuilder()
			.setFeed(Feed.UPSTREAMS)
			.setFromRevision(fromRevision)
			.setRevision(fromRevision + 1)
			.addObjects(FeedObject.newBuilder().setName(name).setRevision(fromRevision).setContent("{}").setGone(true))
			.build();
	}

	// Another VM reads the store meanwhile, and tells that it is available.
	private void run(FeedReplica replica, long ms) {
		for (long end = this.nowMs + ms; this.nowMs < end; this.nowMs += 100) {
			this.directory.onStoreAvailable(this.nowMs, this.nowMs);
			this.channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
			this.channel.runPendingTasks();
			replica.expire();
		}
		replica.expire();
	}

	private List<String> candidates() {
		return this.directory.candidates("s", this.nowMs).stream().map((state) -> state.entry().id()).sorted().toList();
	}

	// Guards against a VM that sends to upstreams that have left for good, since it was
	// turned away by the store before it subscribed to another VM.
	@Test
	void aVmThatFailedToReadTheStoreAndThenSubscribesTrustsItsSource() {
		FeedReplica replica = createReplica();
		replica.startReading();
		answerList(10, "a", "b");
		run(replica, 500);
		store().onFailure(new StoreError(StoreError.Kind.REFUSED, "status 503"));
		run(replica, 9_000);
		replica.stopReading();
		replica.onUpdate(removal("a", 10));
		run(replica, DRAIN_MS);
		assertEquals(candidates(), List.of("b"));
	}

	// Guards against an outage that is not noticed, since a watch that was sent before it
	// is answered in it.
	@Test
	void theReplyOfAWaitingWatchShowsOnlyThatTheStoreWasAvailableWhenItWasSent() {
		FeedReplica replica = createReplica();
		replica.startReading();
		answerList(10, "a", "b");
		store().onRequest();
		this.nowMs = 1_500;
		store().onSuccess();
		this.nowMs = 2_500;
		answerList(11, "b");
		assertEquals(candidates(), List.of("a", "b"));
	}

	/** A source whose calls are answered by the test alone. */
	private static final class SilentSource implements ObjectSource {

		@Override
		public void restart() {
			// The test answers.
		}

		@Override
		public void stop() {
			// No call is in progress.
		}

	}

}
