package org.tallycart.node.peer;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.tallycart.core.fleet.VmRecord;
import org.tallycart.core.ini.Address;
import org.tallycart.core.time.HybridClock;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.runtime.process.TaskFailureHandler;
import org.tallycart.wire.WireIdentity;
import org.tallycart.wire.WirePeer;
import org.tallycart.wire.WireServer;
import org.tallycart.wire.WireTransport;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.FeedUpdate;
import org.tallycart.wire.message.NodeBeat;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link PeerMesh} and the connections of contacted VMs, on real sockets.
 */
public class PeerMeshTests {

	private static final long WAIT_S = 15;

	private EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private CompletableFuture<WirePeer> contacted = new CompletableFuture<>();

	private CompletableFuture<FeedUpdate> listed = new CompletableFuture<>();

	private WireServer server;

	private PeerMesh mesh;

	@BeforeMethod
	void begin() {
		this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		this.contacted = new CompletableFuture<>();
		this.listed = new CompletableFuture<>();
		this.server = transport("vm-1").listen(new Address("127.0.0.1", 0), this::receive).get();
		EventLoop loop = new EventLoop(this.group.next(), TaskFailureHandler.install((code, detail) -> {
			throw new IllegalStateException(detail);
		}));
		this.mesh = new PeerMesh("vm-0", transport("vm-0"), loop, new NodeLog(loop::nowMs),
				PeerMessageHandler.composite(List.of()), new ListSender());
		this.mesh.start();
	}

	@AfterMethod
	void end() throws InterruptedException {
		this.server.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(WAIT_S, TimeUnit.SECONDS);
	}

	private WireTransport transport(String vm) {
		return WireTransport.create(new WireIdentity(vm, 1, new HybridClock(), System::currentTimeMillis), this.group);
	}

	private void receive(WirePeer peer, Envelope message) {
		if (message.hasFeedUpdate()) {
			this.listed.complete(message.getFeedUpdate());
			return;
		}
		peer.send(Envelope.newBuilder().setNodeBeat(NodeBeat.newBuilder().setAnswer(true)));
		this.contacted.complete(peer);
	}

	private void onLoop(Runnable task) throws Exception {
		this.group.submit(task).get(WAIT_S, TimeUnit.SECONDS);
	}

	private VmRecord record(String vm) {
		return new VmRecord(vm, new Address("127.0.0.1", this.server.port()), "d", 1);
	}

	private static void awaitClosed(WirePeer peer) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
		while (peer.isOpen() && System.nanoTime() < end) {
			TimeUnit.MILLISECONDS.sleep(10);
		}
		assertTrue(!peer.isOpen(), "open");
	}

	// Guards against connections that stay open at each VM that was sent a list.
	@Test
	void theConnectionToAContactedVmIsClosedAfterAListWasSentOnIt() throws Exception {
		onLoop(() -> {
			this.mesh.updateRecords(List.of(record("vm-1")));
			this.mesh.contact("vm-1");
		});
		this.listed.get(WAIT_S, TimeUnit.SECONDS);
		awaitClosed(this.contacted.get(WAIT_S, TimeUnit.SECONDS));
	}

	// Guards against a connection that cannot be closed, since its VM left the list.
	@Test
	void theConnectionToAContactedVmIsClosedAlthoughItsRecordIsRemoved() throws Exception {
		onLoop(() -> {
			this.mesh.updateRecords(List.of(record("vm-1")));
			this.mesh.contact("vm-1");
			this.mesh.updateRecords(List.of());
		});
		awaitClosed(this.contacted.get(WAIT_S, TimeUnit.SECONDS));
	}

	/** Sends a list to each contacted VM that replies. */
	private final class ListSender implements HeartbeatHandler {

		@Override
		public void prepareRequest(String vm, NodeBeat.Builder request) {
			// Requests of the exchange contain no more that matters here.
		}

		@Override
		public void onRequest(String vm, NodeBeat request, NodeBeat.Builder reply) {
			// No VM sends requests to this one.
		}

		@Override
		public void onReply(String vm, NodeBeat reply) {
			// No VM is monitored.
		}

		@Override
		public void onContactReply(String vm, NodeBeat reply) {
			PeerMeshTests.this.mesh.sendToContact(vm,
					Envelope.newBuilder().setFeedUpdate(FeedUpdate.newBuilder().setWhole(true)));
		}

		@Override
		public void onFeedUpdate(FeedUpdate update) {
			// No VM relays to this one.
		}

	}

}
