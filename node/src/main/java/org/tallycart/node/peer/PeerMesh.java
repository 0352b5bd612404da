package org.tallycart.node.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.tallycart.core.fleet.Duty;
import org.tallycart.core.fleet.DutyTable;
import org.tallycart.core.fleet.DutyView;
import org.tallycart.core.fleet.HeardVms;
import org.tallycart.core.fleet.VmRecord;
import org.tallycart.core.ini.Address;
import org.tallycart.node.Loop;
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

	private final DutyTable table;

	private final WireTransport transport;

	private final Loop loop;

	private final NodeLog log;

	private final PeerMessages messages;

	private final BeatListener beats;

	private final Map<Address, WireClient> clients = new HashMap<>();

	private final Map<String, WirePeer> askers = new HashMap<>();

	private final HeardVms heard;

	/**
	 * Create a mesh.
	 * @param vm this VM's name
	 * @param transport carries messages on the event loop
	 * @param loop the event loop
	 * @param log where changes are written
	 * @param messages takes what is not a beat
	 * @param beats adds to beats
	 */
	public PeerMesh(String vm, WireTransport transport, Loop loop, NodeLog log, PeerMessages messages,
			BeatListener beats) {
		this.table = new DutyTable(vm);
		this.transport = transport;
		this.loop = loop;
		this.log = log;
		this.messages = messages;
		this.beats = beats;
		this.heard = new HeardVms(loop.nowMs());
	}

	/** Begin to keep in touch. */
	public void start() {
		this.loop.every(TICK_MS, this::tick);
	}

	/**
	 * Take the VMs that may exist.
	 * @param records what they tell of themselves
	 */
	public void know(Collection<VmRecord> records) {
		this.table.know(records);
	}

	/**
	 * Take the duties that matter to this VM.
	 * @param duties all of them
	 */
	public void want(Collection<Duty> duties) {
		this.table.want(duties);
	}

	/**
	 * Return the VM that holds a duty, as this VM sees it.
	 * @param duty the duty
	 * @return the VM's name; this VM's if it knows no other that works
	 */
	public String holder(Duty duty) {
		return this.table.holder(duty);
	}

	/**
	 * Return the VMs that come first for passing on what the store says.
	 * @param count how many for each failure domain, and for reading the store
	 * @return their names
	 */
	public Set<String> firstForNews(int count) {
		return this.table.firstForNews(count);
	}

	/**
	 * Return who holds each duty, as this VM sees it.
	 * @return a view that follows what this VM learns
	 */
	public DutyView duties() {
		return this.table;
	}

	private void tick() {
		this.table.takeSilent(this.loop.nowMs()).forEach((vm) -> lose(vm, "silent"));
		this.table.tick(this.loop.nowMs()).forEach(this::ask);
	}

	private void ask(VmRecord record) {
		NodeBeat.Builder question = NodeBeat.newBuilder().setDraining(this.table.draining());
		this.beats.onAsking(record.vm(), question);
		client(record).send(Envelope.newBuilder().setNodeBeat(question));
	}

	private WireClient client(VmRecord record) {
		return this.clients.computeIfAbsent(record.address(),
				(address) -> this.transport.client(address, new Inbound(record.vm())));
	}

	// The connection may be dead without having been closed, so it is made anew.
	private void lose(String vm, String reason) {
		this.log.event(EventCode.VM_LOST, "vm", vm, "reason", reason);
		this.heard.onLost(this.loop.nowMs());
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
		NodeBeat.Builder answer = NodeBeat.newBuilder().setAnswer(true).setDraining(this.table.draining());
		this.beats.onAsked(vm, message.getNodeBeat(), answer);
		peer.send(Envelope.newBuilder().setNodeBeat(answer));
	}

	private void onHeard(String vm, Envelope message) {
		if (message.hasNodeBeat() && message.getNodeBeat().getDraining()) {
			this.heard.onLeaving(vm);
		}
		else {
			this.heard.onHeard(vm, this.loop.nowMs());
		}
	}

	/**
	 * Return this VM's part in a rate that the holder of a duty grants to all VMs.
	 * @param duty the duty, which this VM holds
	 * @return a share of the rate, from 0 to 1; see {@link HeardVms#shareOfRate}
	 */
	public double shareOfRate(Duty duty) {
		long now = this.loop.nowMs();
		return this.heard.shareOfRate(this.table.silentAhead(duty, now), this.table.vms(), now);
	}

	private void deliver(Envelope message) {
		if (message.hasFeedUpdate()) {
			this.beats.onUpdate(message.getFeedUpdate());
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
		this.beats.onAnswered(vm, beat);
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
	public void answer(String vm, Envelope.Builder message) {
		Optional.ofNullable(this.askers.get(vm)).filter(WirePeer::open).ifPresent((peer) -> peer.send(message));
	}

	/**
	 * Return how many VMs are known to exist or to have existed.
	 * @return the count; 0 while nothing is known
	 */
	public int knownVms() {
		return this.table.known();
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
	public int liveVms() {
		return this.table.live();
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
			if (PeerMesh.this.table.onClosed(this.vm)) {
				lose(this.vm, "connection closed");
			}
		}

	}

}
