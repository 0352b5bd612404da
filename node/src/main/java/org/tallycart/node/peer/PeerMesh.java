package org.tallycart.node.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.tallycart.core.fleet.LeaderRole;
import org.tallycart.core.fleet.LeaderTable;
import org.tallycart.core.fleet.LeaderView;
import org.tallycart.core.fleet.PeerReachability;
import org.tallycart.core.fleet.VmRecord;
import org.tallycart.core.ini.Address;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.wire.WireClient;
import org.tallycart.wire.WireListener;
import org.tallycart.wire.WirePeer;
import org.tallycart.wire.WireTransport;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.NodeBeat;

/**
 * Carries messages between VMs, and asks those that hold a duty, and the next in rank,
 * whether they live. An answer comes back on the connection of its question, so it shows
 * that the path is whole both ways.
 * <p>
 * Invariant: a VM that does not answer gets nothing new, and its connection is made anew
 * before it counts as live again. Not thread-safe: belongs to the event loop.
 *
 * @since 0.1
 */
public final class PeerMesh {

	/** Time between two looks at who has to be asked, in milliseconds. */
	private static final long TICK_MS = 100;

	private final LeaderTable table;

	private final WireTransport transport;

	private final EventLoop loop;

	private final NodeLog log;

	private final PeerMessageHandler messages;

	private final HeartbeatHandler beats;

	private final Map<Address, WireClient> clients = new HashMap<>();

	private final Map<String, WirePeer> askers = new HashMap<>();

	private final PeerReachability heard;

	/**
	 * Create a mesh.
	 * @param vm this VM's name
	 * @param transport carries messages on the event loop
	 * @param loop the event loop
	 * @param log where changes are written
	 * @param messages takes what is not a beat
	 * @param beats adds to beats
	 */
	public PeerMesh(String vm, WireTransport transport, EventLoop loop, NodeLog log, PeerMessageHandler messages,
			HeartbeatHandler beats) {
		this.table = new LeaderTable(vm);
		this.transport = transport;
		this.loop = loop;
		this.log = log;
		this.messages = messages;
		this.beats = beats;
		this.heard = new PeerReachability(loop.nowMs());
	}

	/** Begin to keep in touch. */
	public void start() {
		this.loop.scheduleWithFixedDelay(TICK_MS, this::tick);
	}

	/**
	 * Take the VMs that may exist.
	 * @param records what they tell of themselves
	 */
	public void updateRecords(Collection<VmRecord> records) {
		this.table.updateRecords(records);
	}

	/**
	 * Take the duties that matter to this VM.
	 * @param duties all of them
	 */
	public void setWatchedRoles(Collection<LeaderRole> duties) {
		this.table.setWatchedRoles(duties);
	}

	/**
	 * Return the VM that holds a duty, as this VM sees it.
	 * @param duty the duty
	 * @return the VM's name; this VM's if it knows no other that works
	 */
	public String holder(LeaderRole duty) {
		return this.table.leader(duty);
	}

	/**
	 * Return the VMs that come first for passing on what the store says.
	 * @param count how many for each failure domain, and for reading the store
	 * @return their names
	 */
	public Set<String> preferredSources(int count) {
		return this.table.preferredSources(count);
	}

	/**
	 * Return who holds each duty, as this VM sees it.
	 * @return a view that follows what this VM learns
	 */
	public LeaderView duties() {
		return this.table;
	}

	private void tick() {
		this.table.detectFailures(this.loop.nowMs()).forEach((vm) -> lose(vm, "silent"));
		this.table.dueHeartbeats(this.loop.nowMs()).forEach(this::ask);
	}

	private void ask(VmRecord record) {
		NodeBeat.Builder question = NodeBeat.newBuilder().setDraining(this.table.isDraining());
		this.beats.prepareRequest(record.vm(), question);
		client(record).send(Envelope.newBuilder().setNodeBeat(question));
	}

	private WireClient client(VmRecord record) {
		return this.clients.computeIfAbsent(record.address(),
				(address) -> this.transport.client(address, new Inbound(record.vm())));
	}

	// The connection may be dead without having been closed, so it is made anew.
	private void lose(String vm, String reason) {
		this.log.event(EventCode.VM_LOST, "vm", vm, "reason", reason);
		this.heard.onPeerLost(this.loop.nowMs());
		this.table.record(vm).map((record) -> this.clients.get(record.address())).ifPresent(WireClient::cut);
		this.messages.onLost(vm);
	}

	/**
	 * Take a message that came on a connection that another VM has made.
	 * @param peer the connection
	 * @param message the message
	 */
	public void receive(WirePeer peer, Envelope message) {
		String vm = message.getSenderVm();
		this.askers.put(vm, peer);
		onHeard(vm, message);
		if (!message.hasNodeBeat()) {
			deliver(message);
			return;
		}
		NodeBeat.Builder answer = NodeBeat.newBuilder().setAnswer(true).setDraining(this.table.isDraining());
		this.beats.onRequest(vm, message.getNodeBeat(), answer);
		peer.send(Envelope.newBuilder().setNodeBeat(answer));
	}

	private void onHeard(String vm, Envelope message) {
		if (message.hasNodeBeat() && message.getNodeBeat().getDraining()) {
			this.heard.onDraining(vm);
		}
		else {
			this.heard.onMessage(vm, this.loop.nowMs());
		}
	}

	/**
	 * Return this VM's part in a rate that the holder of a duty grants to all VMs.
	 * @param duty the duty, which this VM holds
	 * @return a share of the rate, from 0 to 1; see {@link PeerReachability#shareOfRate}
	 */
	public double shareOfRate(LeaderRole duty) {
		long now = this.loop.nowMs();
		return this.heard.shareOfRate(this.table.unresponsiveAhead(duty, now), this.table.vms(), now);
	}

	private void deliver(Envelope message) {
		if (message.hasFeedUpdate()) {
			this.beats.onFeedUpdate(message.getFeedUpdate());
		}
		else {
			this.messages.onMessage(message.getSenderVm(), message);
		}
	}

	private void onAnswer(Envelope message) {
		String vm = message.getSenderVm();
		onHeard(vm, message);
		NodeBeat beat = message.getNodeBeat();
		switch (this.table.onAnswer(vm, message.getSenderIncarnation(), beat.getDraining(), this.loop.nowMs())) {
			case FOUND -> this.log.event(EventCode.VM_HEARD, "vm", vm);
			case RESTARTED -> {
				this.log.event(EventCode.VM_LOST, "vm", vm, "reason", "restarted");
				this.messages.onLost(vm);
			}
			case NONE -> {
				// The usual case: a VM that lives goes on living.
			}
		}
		this.beats.onReply(vm, beat);
	}

	/**
	 * Send a message to a VM that holds a duty.
	 * @param vm the VM
	 * @param message the message
	 */
	public void send(String vm, Envelope.Builder message) {
		this.table.record(vm).ifPresent((record) -> client(record).send(message));
	}

	/**
	 * Send a message to a VM that has asked this one for something, on the connection
	 * that it made. If that is closed, the VM knows that answers may be lost.
	 * @param vm the VM
	 * @param message the message
	 */
	public void reply(String vm, Envelope.Builder message) {
		Optional.ofNullable(this.askers.get(vm)).filter(WirePeer::open).ifPresent((peer) -> peer.send(message));
	}

	/**
	 * Return how many VMs are known to exist or to have existed.
	 * @return the count; 0 while nothing is known
	 */
	public int knownVmCount() {
		return this.table.recordCount();
	}

	/**
	 * Return the VMs that are known to exist or to have existed, this one among them.
	 * @return their names
	 */
	public Set<String> vms() {
		return this.table.vms();
	}

	/**
	 * Return how many VMs that this one asks are live.
	 * @return the count
	 */
	public int liveVmCount() {
		return this.table.liveCount();
	}

	/**
	 * Take note that another VM has told that it leaves.
	 * @param vm the VM
	 */
	public void onDraining(String vm) {
		this.table.onDraining(vm);
	}

	/** Tell the others, when they ask, that this VM leaves. */
	public void drain() {
		this.table.drain();
	}

	/** Takes what comes on a connection that this VM has made. */
	private final class Inbound implements WireListener {

		private final String vm;

		private Inbound(String vm) {
			this.vm = vm;
		}

		@Override
		public void onMessage(Envelope message) {
			if (message.hasNodeBeat()) {
				onAnswer(message);
			}
			else {
				deliver(message);
			}
		}

		@Override
		public void onClosed() {
			if (PeerMesh.this.table.onConnectionClosed(this.vm)) {
				lose(this.vm, "connection closed");
			}
		}

	}

}
