package org.tallycart.node.link;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.tallycart.core.ini.Address;
import org.tallycart.core.time.HybridClock;
import org.tallycart.http.event.Call;
import org.tallycart.http.event.ClientRequest;
import org.tallycart.http.event.HeldBytes;
import org.tallycart.http.event.HttpCaller;
import org.tallycart.http.event.MessageLimits;
import org.tallycart.http.event.ReceiveLimits;
import org.tallycart.http.event.ReplyListener;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.node.peer.HeartbeatHandler;
import org.tallycart.node.peer.PeerMesh;
import org.tallycart.node.peer.PeerMessageHandler;
import org.tallycart.runtime.process.TaskFailureHandler;
import org.tallycart.wire.WireIdentity;
import org.tallycart.wire.WirePeer;
import org.tallycart.wire.WireTransport;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.FeedUpdate;
import org.tallycart.wire.message.NodeBeat;
import org.tallycart.wire.message.RelayControl;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for what {@link RelayService} queues for a VM that reads slowly.
 */
public class RelayQueueTests {

	private static final String VM = "vm-1";

	private static final int PART_BYTES = 64 << 10;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final List<RelayedCall> calls = new ArrayList<>();

	private final SlowPeer peer = new SlowPeer();

	private EmbeddedChannel channel = new EmbeddedChannel();

	private Optional<PeerMesh> mesh = Optional.empty();

	private Optional<RelayService> service = Optional.empty();

	@BeforeMethod
	void begin() {
		this.channel = new EmbeddedChannel();
		this.calls.clear();
		this.peer.queued = 0;
		EventLoop loop = new EventLoop(this.channel.eventLoop(), TaskFailureHandler.install((code, detail) -> {
			throw new IllegalStateException(detail);
		}));
		NodeLog log = new NodeLog(loop::nowMs);
		WireTransport transport = WireTransport
			.create(new WireIdentity("vm-0", 1, new HybridClock(), System::currentTimeMillis), this.group);
		PeerMesh peers = new PeerMesh("vm-0", transport, loop, log, PeerMessageHandler.composite(List.of()),
				new NoHeartbeats());
		peers.receive(this.peer, Envelope.newBuilder().setSenderVm(VM).build());
		this.mesh = Optional.of(peers);
		this.service = Optional.of(new RelayService(loop, log, new Caller(), new NodeMetrics(), () -> true));
	}

	@AfterMethod
	void end() {
		this.channel.close();
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	private static Envelope message(long number) {
		ClientRequest request = ClientRequest
			.builder("i-0", new Address("127.0.0.1", 1), new BasicHttpRequest("GET", "/x"))
			.build();
		return Envelope.newBuilder().setSenderVm(VM).setRelayCall(RelayMessageCodec.encode(number, request)).build();
	}

	private RelayedCall call(long number) {
		this.service.orElseThrow().onCall(VM, message(number), this.mesh.orElseThrow());
		RelayedCall call = this.calls.get(this.calls.size() - 1);
		call.listener.onHead(new BasicHttpResponse(200));
		return call;
	}

	private void control(long number, RelayControl.Action action) {
		this.service.orElseThrow().onControl(VM, RelayControl.newBuilder().setNumber(number).setAction(action).build());
	}

	private void receiveUntilPaused(RelayedCall call) {
		for (long sent = 0; !call.paused && sent < 4 * RelayService.MAX_QUEUED_BYTES; sent += PART_BYTES) {
			call.listener.onBody(new byte[PART_BYTES]);
		}
	}

	// Guards against the memory of a relay that is filled by replies for a VM which reads
	// slowly.
	@Test
	void upstreamsAreNotReadWhileTooMuchIsQueuedForAVm() {
		RelayedCall first = call(1);
		RelayedCall second = call(2);
		receiveUntilPaused(first);
		assertTrue(first.paused);
		assertTrue(second.paused);
		assertTrue(this.peer.queued < RelayService.MAX_QUEUED_BYTES + 2 * PART_BYTES, "queued " + this.peer.queued);
		this.service.orElseThrow().tick();
		assertTrue(first.paused);
		this.peer.queued = 0;
		this.service.orElseThrow().tick();
		assertFalse(first.paused);
		assertFalse(second.paused);
		assertEquals(this.service.orElseThrow().callsInProgress(), 2);
	}

	// Guards against an upstream that is read although its caller reads slowly, since the
	// queue of another call is empty again.
	@Test
	void aCallThatItsVmHasPausedStaysPausedAfterwards() {
		RelayedCall call = call(1);
		receiveUntilPaused(call);
		control(1, RelayControl.Action.PAUSE);
		this.peer.queued = 0;
		this.service.orElseThrow().tick();
		assertTrue(call.paused);
		control(1, RelayControl.Action.RESUME);
		assertFalse(call.paused);
	}

	@Test
	void aVmCannotResumeACallWhileTooMuchIsQueued() {
		RelayedCall call = call(1);
		receiveUntilPaused(call);
		control(1, RelayControl.Action.RESUME);
		assertTrue(call.paused);
	}

	// Guards against a queue that grows by short replies, each of which arrives at once.
	@Test
	void aVmGetsNoMoreCallsWhileTooMuchIsQueued() {
		receiveUntilPaused(call(1));
		int before = this.calls.size();
		this.service.orElseThrow().onCall(VM, message(2), this.mesh.orElseThrow());
		assertEquals(this.calls.size(), before);
		this.peer.queued = 0;
		this.service.orElseThrow().tick();
		call(3);
		assertEquals(this.calls.size(), before + 1);
	}

	/** A VM that reads only when a test says so. */
	private static final class SlowPeer implements WirePeer {

		private long queued;

		@Override
		public void reply(Envelope call, Envelope.Builder reply) {
			send(reply);
		}

		@Override
		public void send(Envelope.Builder message) {
			this.queued += message.build().getSerializedSize();
		}

		@Override
		public long queuedBytes() {
			return this.queued;
		}

		@Override
		public boolean isOpen() {
			return true;
		}

	}

	/** Keeps the calls. */
	private final class Caller implements HttpCaller {

		@Override
		public Call call(ClientRequest request, ReplyListener listener) {
			RelayedCall call = new RelayedCall(listener);
			RelayQueueTests.this.calls.add(call);
			return call;
		}

		@Override
		public ReceiveLimits receiveLimits() {
			return new ReceiveLimits(MessageLimits.builder().build(), new HeldBytes(Long.MAX_VALUE));
		}

	}

	/** A call that is answered by a test. */
	private static final class RelayedCall implements Call {

		private final ReplyListener listener;

		private boolean paused;

		private RelayedCall(ReplyListener listener) {
			this.listener = listener;
		}

		@Override
		public void cancel() {
			// Not used by these tests.
		}

		@Override
		public void setPaused(boolean value) {
			this.paused = value;
		}

	}

	/** Ignores heartbeats. */
	private static final class NoHeartbeats implements HeartbeatHandler {

		@Override
		public void prepareRequest(String vm, NodeBeat.Builder request) {
			// Not used by these tests.
		}

		@Override
		public void onRequest(String vm, NodeBeat request, NodeBeat.Builder reply) {
			// Not used by these tests.
		}

		@Override
		public void onReply(String vm, NodeBeat reply) {
			// Not used by these tests.
		}

		@Override
		public void onContactReply(String vm, NodeBeat reply) {
			// Not used by these tests.
		}

		@Override
		public void onFeedUpdate(FeedUpdate update) {
			// Not used by these tests.
		}

	}

}
