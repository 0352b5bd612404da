package org.tallycart.node.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

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
 * Sends messages between VMs, and detects failures of the leaders and their standbys by
 * heartbeats. A heartbeat reply is sent on the connection of its request, so it confirms
 * both directions.
 * <p>
 * Invariant: a VM that does not reply is not used as a leader, and its connection is
 * reopened before it counts as live again. Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class PeerMesh {

	/** Interval of the checks for due heartbeats and failed VMs, in milliseconds. */
	private static final long TICK_MS = 100;

	/**
	 * Maximum wait for the reply of a contacted VM, and for a message to it to be sent,
	 * in milliseconds; its connection is closed then.
	 */
	private static final long CONTACT_TIMEOUT_MS = 2_000;

	private final LeaderTable table;

	private final WireTransport transport;

	private final EventLoop loop;

	private final NodeLog log;

	private final PeerMessageHandler messageHandler;

	private final HeartbeatHandler heartbeatHandler;

	private final Map<Address, WireClient> clients = new HashMap<>();

	private final Map<String, WirePeer> inboundPeers = new HashMap<>();

	// Times of the requests to contacted VMs that have not replied.
	private final Map<String, Long> contactedMs = new HashMap<>();

	// Times of the last messages to contacted VMs that have replied.
	private final Map<String, Long> sentToContactMs = new HashMap<>();

	// Addresses of the VMs whose connections were opened by a contact and have no other
	// use.
	private final Map<String, Address> contactsOnly = new HashMap<>();

	private final PeerReachability reachability;

	private Consumer<Collection<VmRecord>> recordsListener = (records) -> {
	};

	/**
	 * Create a mesh.
	 * @param vm this VM's name
	 * @param transport the transport; has to use the event loop
	 * @param loop the event loop
	 * @param log the event log
	 * @param messageHandler the handler of messages other than heartbeats and store
	 * contents
	 * @param heartbeatHandler the handler of heartbeats and store contents
	 */
	public PeerMesh(String vm, WireTransport transport, EventLoop loop, NodeLog log, PeerMessageHandler messageHandler,
			HeartbeatHandler heartbeatHandler) {
		this.table = new LeaderTable(vm);
		this.transport = transport;
		this.loop = loop;
		this.log = log;
		this.messageHandler = messageHandler;
		this.heartbeatHandler = heartbeatHandler;
		this.reachability = new PeerReachability(loop.nowMs());
	}

	/** Start to send heartbeats. */
	public void start() {
		this.loop.scheduleWithFixedDelay(TICK_MS, this::tick);
	}

	/**
	 * Replace the records of the VMs that may exist.
	 * @param records the records of all VMs
	 */
	public void updateRecords(Collection<VmRecord> records) {
		this.table.updateRecords(records);
		this.recordsListener.accept(records);
	}

	/**
	 * Set the listener for the records of the VMs.
	 * @param listener receives the records of all VMs each time they are read
	 */
	public void onRecords(Consumer<Collection<VmRecord>> listener) {
		this.recordsListener = listener;
	}

	/**
	 * Set the leader roles whose leaders this VM monitors.
	 * @param roles all such roles
	 */
	public void setWatchedRoles(Collection<LeaderRole> roles) {
		this.table.setWatchedRoles(roles);
	}

	/**
	 * Return the leader for a role, in the view of this VM.
	 * @param role the role
	 * @return the name of the VM; this VM's own name if no other is known to be live and
	 * not draining
	 */
	public String leader(LeaderRole role) {
		return this.table.leader(role);
	}

	/**
	 * Return the VMs that are ranked first for reading the store and for relaying its
	 * contents.
	 * @param count the number of VMs for reading the store, and for each failure domain
	 * @return the names of the VMs, without this VM
	 */
	public Set<String> preferredSources(int count) {
		return this.table.preferredSources(count);
	}

	/**
	 * Return the leaders for all roles, in the view of this VM.
	 * @return a live view
	 */
	public LeaderView watchedRoles() {
		return this.table;
	}

	private void tick() {
		this.table.detectFailures(this.loop.nowMs()).forEach((vm) -> onPeerFailed(vm, "unresponsive"));
		this.table.dueHeartbeats(this.loop.nowMs()).forEach(this::sendHeartbeat);
		closeExpired(this.contactedMs);
		closeExpired(this.sentToContactMs);
	}

	private void closeExpired(Map<String, Long> startMs) {
		startMs.entrySet().removeIf((contact) -> {
			boolean expired = this.loop.nowMs() - contact.getValue() > CONTACT_TIMEOUT_MS;
			if (expired) {
				closeContact(contact.getKey());
			}
			return expired;
		});
	}

	/**
	 * Send a heartbeat request to a VM whether its roles need one or not. Without other
	 * use, the connection is closed after the reply, or some time after the last call of
	 * {@link #sendToContact}. Ignored if the VM has no record.
	 * @param vm the name of the VM
	 */
	public void contact(String vm) {
		this.table.record(vm).ifPresent((record) -> {
			boolean contactOnly = !this.clients.containsKey(record.address())
					|| record.address().equals(this.contactsOnly.get(vm));
			this.contactedMs.put(vm, this.loop.nowMs());
			this.sentToContactMs.remove(vm);
			sendHeartbeat(record);
			if (contactOnly) {
				this.contactsOnly.put(vm, record.address());
			}
		});
	}

	private void closeContact(String vm) {
		Optional.ofNullable(this.contactsOnly.remove(vm)).map(this.clients::remove).ifPresent(WireClient::disconnect);
	}

	private void sendHeartbeat(VmRecord record) {
		this.contactsOnly.remove(record.vm());
		NodeBeat.Builder request = NodeBeat.newBuilder().setDraining(this.table.isDraining());
		this.heartbeatHandler.prepareRequest(record.vm(), request);
		client(record).send(Envelope.newBuilder().setNodeBeat(request));
	}

	private WireClient client(VmRecord record) {
		return this.clients.computeIfAbsent(record.address(),
				(address) -> this.transport.client(address, new OutboundListener(record.vm())));
	}

	// Closes the connection, which may be broken without having been closed.
	private void onPeerFailed(String vm, String reason) {
		this.log.event(EventCode.VM_LOST, "vm", vm, "reason", reason);
		this.reachability.onPeerLost(this.loop.nowMs());
		this.table.record(vm).map((record) -> this.clients.get(record.address())).ifPresent(WireClient::disconnect);
		this.messageHandler.onPeerFailed(vm);
	}

	/**
	 * Handle a message on a connection that another VM opened.
	 * @param peer the connection
	 * @param message the message
	 */
	public void receive(WirePeer peer, Envelope message) {
		String vm = message.getSenderVm();
		this.inboundPeers.put(vm, peer);
		updateReachability(vm, message);
		if (!message.hasNodeBeat()) {
			deliver(message);
			return;
		}
		NodeBeat.Builder reply = NodeBeat.newBuilder().setAnswer(true).setDraining(this.table.isDraining());
		this.heartbeatHandler.onRequest(vm, message.getNodeBeat(), reply);
		this.messageHandler.prepareHeartbeatReply(reply);
		peer.send(Envelope.newBuilder().setNodeBeat(reply));
	}

	private void updateReachability(String vm, Envelope message) {
		if (message.hasNodeBeat() && message.getNodeBeat().getDraining()) {
			this.reachability.onDraining(vm);
		}
		else {
			this.reachability.onMessage(vm, this.loop.nowMs());
		}
	}

	/**
	 * Return the share of a fleet-wide rate that this VM may grant as a leader.
	 * @param role the role, for which this VM is the leader
	 * @return the share, from 0 to 1; see {@link PeerReachability#shareOfRate}
	 */
	public double shareOfRate(LeaderRole role) {
		long now = this.loop.nowMs();
		return this.reachability.shareOfRate(this.table.unresponsiveAhead(role, now), this.table.vms(), now);
	}

	private void deliver(Envelope message) {
		if (message.hasFeedUpdate()) {
			this.heartbeatHandler.onFeedUpdate(message.getFeedUpdate());
		}
		else {
			this.messageHandler.onMessage(message.getSenderVm(), message);
		}
	}

	private void onHeartbeatReply(Envelope message) {
		String vm = message.getSenderVm();
		updateReachability(vm, message);
		NodeBeat heartbeat = message.getNodeBeat();
		if (this.table.isMonitored(vm)) {
			onMonitoredReply(vm, message);
		}
		if (this.contactedMs.remove(vm) != null) {
			this.heartbeatHandler.onContactReply(vm, heartbeat);
			if (!this.sentToContactMs.containsKey(vm)) {
				closeContact(vm);
			}
		}
	}

	private void onMonitoredReply(String vm, Envelope message) {
		NodeBeat heartbeat = message.getNodeBeat();
		switch (this.table.onReply(vm, message.getSenderIncarnation(), heartbeat.getDraining(), this.loop.nowMs())) {
			case FOUND -> this.log.event(EventCode.VM_HEARD, "vm", vm);
			case RESTARTED -> {
				this.log.event(EventCode.VM_LOST, "vm", vm, "reason", "restarted");
				this.messageHandler.onPeerFailed(vm);
			}
			case NONE -> {
				// The VM was live before.
			}
		}
		this.heartbeatHandler.onReply(vm, heartbeat);
		this.messageHandler.onHeartbeatReply(heartbeat);
	}

	/**
	 * Send a message to a VM on this VM's connection to it, which is opened on first use.
	 * Drops the message if the VM has no record.
	 * @param vm the name of the VM
	 * @param message the message
	 */
	public void send(String vm, Envelope.Builder message) {
		this.table.record(vm).ifPresent((record) -> {
			this.contactsOnly.remove(vm);
			client(record).send(message);
		});
	}

	/**
	 * Send a message to a VM that was contacted and has replied. Unlike {@link #send}, it
	 * is no lasting use of the connection.
	 * @param vm the name of the VM
	 * @param message the message
	 */
	public void sendToContact(String vm, Envelope.Builder message) {
		this.table.record(vm).ifPresent((record) -> {
			client(record).send(message);
			this.sentToContactMs.put(vm, this.loop.nowMs());
		});
	}

	/**
	 * Send a message to a VM on the connection that the VM opened to this one. Drops the
	 * message if that connection is closed; the VM expects lost replies then.
	 * @param vm the name of the VM
	 * @param message the message
	 */
	public void reply(String vm, Envelope.Builder message) {
		Optional.ofNullable(this.inboundPeers.get(vm)).filter(WirePeer::isOpen).ifPresent((peer) -> peer.send(message));
	}

	/**
	 * Return how much is queued on the connection that a VM opened to this one.
	 * @param vm the name of the VM
	 * @return the size in bytes; 0 if there is no connection
	 */
	public long queuedReplyBytes(String vm) {
		return Optional.ofNullable(this.inboundPeers.get(vm)).map(WirePeer::queuedBytes).orElse(0L);
	}

	/**
	 * Return the number of VMs that have a record, whether they are live or not.
	 * @return the count; 0 until records are loaded
	 */
	public int knownVmCount() {
		return this.table.recordCount();
	}

	/**
	 * Return the VMs that have a record, whether they are live or not, including this VM.
	 * @return the names of the VMs
	 */
	public Set<String> vms() {
		return this.table.vms();
	}

	/**
	 * Return how many of the VMs that this VM monitors are live.
	 * @return the count, without this VM
	 */
	public int liveVmCount() {
		return this.table.liveCount();
	}

	/**
	 * Handle the notice that another VM drains.
	 * @param vm the name of the VM
	 */
	public void onDraining(String vm) {
		this.table.onDraining(vm);
	}

	/** Report in all further heartbeats that this VM drains. */
	public void drain() {
		this.table.drain();
	}

	/** Handles messages on a connection that this VM opened. */
	private final class OutboundListener implements WireListener {

		private final String vm;

		private OutboundListener(String vm) {
			this.vm = vm;
		}

		@Override
		public void onMessage(Envelope message) {
			if (message.hasNodeBeat()) {
				onHeartbeatReply(message);
			}
			else {
				deliver(message);
			}
		}

		@Override
		public void onClosed() {
			if (PeerMesh.this.table.onConnectionClosed(this.vm)) {
				onPeerFailed(this.vm, "connection closed");
			}
			PeerMesh.this.messageHandler.onConnectionClosed(this.vm);
		}

	}

}
