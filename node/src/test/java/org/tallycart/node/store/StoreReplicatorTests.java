package org.tallycart.node.store;

import java.util.List;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import org.tallycart.core.crash.Quarantine;
import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.NodeSettings;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.http.event.HeldBytes;
import org.tallycart.http.event.HttpClient;
import org.tallycart.http.event.MessageLimits;
import org.tallycart.http.event.ReceiveLimits;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.platform.store.ObjectClient;
import org.tallycart.runtime.process.TaskFailureHandler;
import org.tallycart.wire.message.Feed;
import org.tallycart.wire.message.FeedRevision;
import org.tallycart.wire.message.FeedUpdate;
import org.tallycart.wire.message.NodeBeat;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for the heartbeats by which {@link StoreReplicator} compares lists of VMs.
 */
public class StoreReplicatorTests {

	private static final long REVISION = 10;

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	@BeforeMethod
	void begin() {
		this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
	}

	@AfterMethod
	void end() {
		this.group.shutdownGracefully();
	}

	// Returns a replicator that reads no store.
	private StoreReplicator create() {
		EventLoop loop = new EventLoop(this.channel.eventLoop(), TaskFailureHandler.install((code, detail) -> {
			throw new IllegalStateException(detail);
		}));
		NodeLog log = new NodeLog(loop::nowMs);
		HttpClient http = HttpClient.create(this.group, loop::nowMs,
				new ReceiveLimits(MessageLimits.builder().build(), new HeldBytes(1 << 20)));
		Address any = new Address("127.0.0.1", 0);
		ObjectClient objects = new ObjectClient(http, loop.executor(), any, (call) -> {
		});
		NodeSettings settings = new NodeSettings("vm-0", "127.0.0.1", "d", any, any, 0, 750, Integer.MAX_VALUE, any,
				1_200, new NodeSettings.PlatformLimits(4_000, 0.2, 10_000, 50), true);
		ReplicatedState state = new ReplicatedState(new ActiveConfig(log), new UpstreamDirectory(), new Quarantine(),
				new NodeMetrics());
		return new StoreReplicator(settings, objects, loop, log, state, () -> {
		}, () -> {
		});
	}

	private static FeedRevision revision(long revision) {
		return FeedRevision.newBuilder().setFeed(Feed.VMS).setRevision(revision).build();
	}

	@DataProvider
	static Object[][] lists() {
		return new Object[][] { { REVISION - 1, false, List.of(REVISION) }, { REVISION, false, List.of() },
				{ REVISION + 1, false, List.of(REVISION) }, { REVISION - 1, true, List.of(REVISION) },
				{ REVISION, true, List.of() } };
	}

	// Guards against an earlier list that counts as equal, since no list was due to be
	// sent to its VM.
	@Test(dataProvider = "lists")
	void aReplyHasTheRevisionOfTheListUnlessBothAreEqual(long requested, boolean subscribes, List<Long> expected) {
		StoreReplicator replicator = create();
		replicator.onFeedUpdate(FeedUpdate.newBuilder().setFeed(Feed.VMS).setWhole(true).setRevision(REVISION).build());
		NodeBeat.Builder reply = NodeBeat.newBuilder();
		replicator.onRequest("vm-1",
				NodeBeat.newBuilder().setSubscribes(subscribes).addKnown(revision(requested)).build(), reply);
		assertEquals(reply.getKnownList().stream().map(FeedRevision::getRevision).toList(), expected);
	}

}
