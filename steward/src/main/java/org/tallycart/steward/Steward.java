package org.tallycart.steward;

import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.tallycart.core.claim.ClaimTable;
import org.tallycart.core.membership.Vm;
import org.tallycart.core.membership.VmState;
import org.tallycart.core.time.HybridClock;
import org.tallycart.platform.HttpObjectStore;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.event.EventLog;
import org.tallycart.runtime.process.Clocks;
import org.tallycart.runtime.process.Daemon;
import org.tallycart.runtime.process.TaskFailureHandler;
import org.tallycart.runtime.status.StatusServer;
import org.tallycart.wire.WireIdentity;
import org.tallycart.wire.WirePeer;
import org.tallycart.wire.WireServer;
import org.tallycart.wire.WireTransport;
import org.tallycart.wire.message.Ack;
import org.tallycart.wire.message.Envelope;

/**
 * A running steward: creates its components and dispatches messages to them.
 * <p>
 * Thread-safe: state is confined to the control thread, except for volatile flags.
 *
 * @since 0.1
 */
final class Steward implements Daemon {

	private static final int EVENT_LOG_CAPACITY = 20_000;

	private static final long SLOT_CHECK_INTERVAL_MS = 200;

	/** Time without contact after which the state is no longer known to be current. */
	private static final long CURRENCY_TIMEOUT_MS = 5_000;

	private static final long FEED_INTERVAL_MS = 1_000;

	private static final long DRAIN_POLL_INTERVAL_MS = 50;

	private static final ObjectMapper JSON = new ObjectMapper();

	private final StewardSettings settings;

	private final EventLog events;

	private final ControlThread control;

	private final WireTransport transport;

	private final HttpObjectStore store;

	private final MetricRegistry metrics = new MetricRegistry();

	private final FleetState state;

	private final PeerDirectory peers;

	private final Gossip gossip;

	private final PlatformReplicator platform;

	private final SlotOwnershipManager slots;

	private final WorkspaceShareCoordinator shares;

	private final EntryFeed feed;

	private volatile boolean ready;

	private volatile boolean draining;

	private volatile boolean current = true;

	private volatile boolean ownsSlots;

	private WireServer server;

	private StatusServer status;

	@SuppressWarnings("NullAway.Init")
	private Steward(StewardSettings settings) {
		this.settings = settings;
		String vm = settings.vm().id();
		HybridClock clock = new HybridClock();
		this.events = EventLog.create("steward@" + vm, EVENT_LOG_CAPACITY, clock, Clocks.SYSTEM);
		TaskFailureHandler failureHandler = TaskFailureHandler.install(this.events::emit);
		this.control = new ControlThread(failureHandler);
		WireIdentity identity = new WireIdentity(vm, Clocks.SYSTEM.wallMs(), clock, Clocks.SYSTEM::wallMs);
		this.transport = WireTransport.create(identity);
		this.store = HttpObjectStore.create(settings.platform(), settings.platformTimeoutMs(), vm);
		this.state = new FleetState(this.events, settings.slotCount());
		this.peers = new PeerDirectory(vm, this.state, this.transport::client, settings.seeds(), this.events);
		this.gossip = new Gossip(this.state, this.peers, this.control, Clocks.SYSTEM::monotonicMs,
				new Random(vm.hashCode()), settings.fanout());
		this.platform = new PlatformReplicator(this.store, this.state, this.control, this.events, failureHandler,
				settings, this.gossip::round);
		this.slots = new SlotOwnershipManager(identity, this.state, this.peers, this.platform, this.control,
				this.events, ClaimTable.create(vm, identity.incarnation(), settings.window()));
		this.shares = new WorkspaceShareCoordinator(vm, this.peers);
		this.feed = new EntryFeed(this.state, this::activeVms, () -> this.ready);
	}

	static Either<String, Daemon> start(StewardSettings settings) {
		Steward steward = new Steward(settings);
		return steward.transport.listen(settings.peerListen(), steward::onMessage).flatMap((server) -> {
			steward.server = server;
			return StatusServer.start(settings.statusListen(), steward.events, steward.metrics,
					() -> steward.ready && !steward.draining, steward::statusJson);
		}).map((status) -> {
			steward.status = status;
			steward.startTasks();
			return steward;
		});
	}

	private void startTasks() {
		this.metrics.counter("wire.messages_in");
		this.control.execute("start", () -> {
			this.state.onChange(() -> {
				this.slots.applySlotMap();
				markDrainingVms();
				this.feed.push();
			});
			this.platform.readDue();
			this.gossip.round();
		});
		this.control.scheduleWithFixedDelay("platform", this.settings.pollMs(), this.platform::readDue);
		this.control.scheduleWithFixedDelay("gossip", this.settings.heartbeatMs(), this.gossip::round);
		this.control.scheduleWithFixedDelay("slots", SLOT_CHECK_INTERVAL_MS, () -> {
			this.slots.startDueChange();
			this.ownsSlots = this.slots.ownsSlots();
			updateReadinessAndCurrency();
		});
		this.control.scheduleWithFixedDelay("feed", FEED_INTERVAL_MS, () -> {
			this.shares.removeIdle();
			this.feed.push();
		});
		this.events.emit(EventCode.PROCESS_STARTED, listeningPorts());
	}

	private void markDrainingVms() {
		this.state.offerDraining(this.state.vms()
			.withRole(Vm.ROLE_UPSTREAM)
			.stream()
			.filter((vm) -> vm.state() == VmState.LEAVING)
			.map(Vm::id)
			.toList());
	}

	private void updateReadinessAndCurrency() {
		long nowMs = Clocks.SYSTEM.monotonicMs();
		boolean platformRead = this.platform.hasReadRegisters();
		boolean peerConfigKnown = this.gossip.lastHeardMs() != Long.MIN_VALUE && this.state.manifest().version() > 0;
		boolean complete = this.state.missingBlobs().isEmpty();
		if (!this.ready && complete && this.gossip.isRoundComplete() && (platformRead || peerConfigKnown)) {
			this.ready = true;
			this.events.emit(EventCode.STEWARD_READY, "config version=" + this.state.manifest().version());
			this.feed.push();
		}
		boolean recentContact = isRecent(this.platform.lastReplyMs(), nowMs)
				|| isRecent(this.gossip.lastHeardMs(), nowMs);
		if (recentContact != this.current) {
			this.current = recentContact;
			this.events.emit(recentContact ? EventCode.CURRENCY_KNOWN : EventCode.CURRENCY_UNKNOWN,
					"config version=" + this.state.manifest().version());
		}
	}

	private static boolean isRecent(long atMs, long nowMs) {
		return atMs != Long.MIN_VALUE && nowMs - atMs < CURRENCY_TIMEOUT_MS;
	}

	private int activeVms() {
		return this.peers.activeVms(Clocks.SYSTEM.monotonicMs()).size() + (this.draining ? 0 : 1);
	}

	private void onMessage(WirePeer peer, Envelope message) {
		this.metrics.counter("wire.messages_in").inc();
		this.metrics.counter("wire.bytes_in").inc(message.getSerializedSize());
		this.control.execute(message.getBodyCase().name(), () -> handle(peer, message));
	}

	private void handle(WirePeer peer, Envelope message) {
		switch (message.getBodyCase()) {
			case HEARTBEAT -> reply(peer, message, this.gossip.onHeartbeat(message));
			case PULL_REQUEST -> reply(peer, message,
					Envelope.newBuilder().setPullReply(this.gossip.onPullRequest(message.getPullRequest())));
			case BLOB_REQUEST -> reply(peer, message,
					Envelope.newBuilder().setBlobReply(this.gossip.onBlobRequest(message.getBlobRequest())));
			case LEAVING_NOTICE -> this.gossip.onLeavingNotice(message.getLeavingNotice());
			case CLAIM_CALL ->
				reply(peer, message, Envelope.newBuilder().setClaimAnswer(this.slots.onClaim(message.getClaimCall())));
			case CLAIM_FINISH -> reply(peer, message, ack(this.slots.onFinish(message.getClaimFinish())));
			case CLAIM_RELEASE -> reply(peer, message, ack(this.slots.onRelease(message.getClaimRelease())));
			case HANDOVER_CALL ->
				reply(peer, message, ack(this.slots.onHandover(message.getHandoverCall(), message.getSenderVm())));
			case SUBSCRIBE -> this.feed.subscribe(peer);
			case SHARE_REPORT -> onShareReport(peer, message);
			default -> {
				// Ignores messages that only a later release knows.
			}
		}
	}

	private void onShareReport(WirePeer peer, Envelope message) {
		boolean fromOwnEntry = message.getSenderVm().equals(this.settings.vm().id());
		if (fromOwnEntry) {
			this.shares.onEntryReport(message.getShareReport())
				.thenAccept((answer) -> reply(peer, message, Envelope.newBuilder().setShareAnswer(answer)));
			return;
		}
		reply(peer, message, Envelope.newBuilder()
			.setShareAnswer(this.shares.onPeerReport(message.getShareReport(), message.getSenderVm())));
	}

	private void reply(WirePeer peer, Envelope call, Envelope.Builder reply) {
		this.metrics.counter("wire.messages_out").inc();
		this.metrics.counter("wire.bytes_out").inc(reply.build().getSerializedSize());
		peer.reply(call, reply);
	}

	private static Envelope.Builder ack(boolean accepted) {
		return Envelope.newBuilder().setAck(Ack.newBuilder().setAccepted(accepted));
	}

	private ObjectNode statusJson() {
		ObjectNode node = JSON.createObjectNode()
			.put("vm", this.settings.vm().id())
			.put("domain", this.settings.vm().domain())
			.put("incarnation", this.transport.identity().incarnation())
			.put("ready", this.ready)
			.put("draining", this.draining)
			.put("current", this.current);
		CountDownLatch done = new CountDownLatch(1);
		this.control.execute("status", () -> {
			node.put("config_version", this.state.manifest().version())
				.put("slots_version", this.state.register(RegisterName.SLOTS).version())
				.put("vms_version", this.state.vms().version())
				.put("active_vms", activeVms());
			this.slots.counts().forEach(node::put);
			this.state.drainingUpstreams().forEach(node.putArray("leaving")::add);
			done.countDown();
		});
		try {
			done.await(1, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return node;
	}

	@Override
	public String listeningPorts() {
		return "peer=" + this.server.port() + " status=" + this.status.port();
	}

	@Override
	public void stop() {
		this.draining = true;
		this.events.emit(EventCode.DRAIN_BEGAN, "");
		this.control.execute("drain", () -> {
			this.gossip.setDraining(true);
			this.slots.setDraining(true);
			this.gossip.round();
		});
		this.ownsSlots = true;
		boolean handedOver = awaitHandover();
		this.events.emit(EventCode.DRAIN_ENDED, "handed_over=" + handedOver);
		this.server.close();
		this.status.close();
		this.control.close();
		this.platform.close();
		this.peers.close();
		this.store.close();
		this.transport.close();
	}

	private boolean awaitHandover() {
		for (long waitedMs = 0; waitedMs < this.settings.drainMs(); waitedMs += DRAIN_POLL_INTERVAL_MS) {
			if (!this.ownsSlots) {
				return true;
			}
			try {
				Thread.sleep(DRAIN_POLL_INTERVAL_MS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return false;
			}
		}
		return !this.ownsSlots;
	}

}
