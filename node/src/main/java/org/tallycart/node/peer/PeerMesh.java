package org.tallycart.node.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;
import org.tallycart.core.ini.Address;
import org.tallycart.node.Loop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.wire.WireTransport;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.NodeBeat;
import org.tallycart.wire.message.PeerBrief;

/**
 * Keeps in touch with the other VMs. Each sends beats to each other one, with the names
 * of those it hears, so that a path that is cut in one direction is noticed at both ends.
 * <p>
 * Invariant: a VM counts as live only while it is heard and says that it hears this one.
 * Not thread-safe: belongs to the event loop.
 *
 * @since 0.1
 */
public final class PeerMesh {

	/**
	 * Time between two beats, in milliseconds: a lost VM is noticed within four of them.
	 */
	static final long BEAT_MS = 200;

	/** A VM that is not heard for this long is not live, in milliseconds. */
	private static final long SILENCE_MS = 800;

	/** How old a peer's own news of hearing this VM may be, in milliseconds. */
	private static final long HEARS_MS = 1_000;

	/** Time between two tries to reach a VM that is silent, in milliseconds. */
	private static final long RETRY_MS = 2_000;

	private final String vm;

	private Address own = new Address("", 0);

	private final WireTransport transport;

	private final Loop loop;

	private final NodeLog log;

	private final PeerMessages messages;

	private final Map<Address, Peer> peers = new HashMap<>();

	private boolean draining;

	/**
	 * Create a mesh.
	 * @param vm this VM's name
	 * @param transport carries messages on the event loop
	 * @param loop the event loop
	 * @param log where changes are written
	 * @param messages takes what is not a beat
	 */
	public PeerMesh(String vm, WireTransport transport, Loop loop, NodeLog log, PeerMessages messages) {
		this.vm = vm;
		this.transport = transport;
		this.loop = loop;
		this.log = log;
		this.messages = messages;
	}

	/**
	 * Begin to send beats.
	 * @param address where this VM accepts others
	 */
	public void start(Address address) {
		this.own = address;
		this.peers.remove(address);
		this.loop.every(BEAT_MS, this::beat);
	}

	/**
	 * Take note of VMs that may exist.
	 * @param addresses where they accept others
	 */
	public void know(Collection<Address> addresses) {
		addresses.stream().filter((address) -> !address.equals(this.own)).forEach(this::know);
	}

	private Peer know(Address address) {
		return this.peers.computeIfAbsent(address, (key) -> new Peer(key, this.transport.client(key, this::receive)));
	}

	/**
	 * Take a message of another VM.
	 * @param message the message
	 */
	public void receive(Envelope message) {
		if (!message.hasNodeBeat()) {
			this.messages.onMessage(message.getSenderVm(), message);
			return;
		}
		NodeBeat beat = message.getNodeBeat();
		Either<String, Address> sender = Address.parse(beat.getAddress());
		if (sender.isRight() && !sender.get().equals(this.own)) {
			onBeat(know(sender.get()), message, beat);
		}
	}

	private void onBeat(Peer peer, Envelope message, NodeBeat beat) {
		boolean restarted = !peer.vm().isEmpty() && peer.incarnation() != message.getSenderIncarnation();
		if (restarted && peer.live()) {
			lose(peer, "restarted");
		}
		long age = beat.getPeersList()
			.stream()
			.filter((brief) -> brief.getVm().equals(this.vm))
			.mapToLong(PeerBrief::getAgeMs)
			.findFirst()
			.orElse(Long.MAX_VALUE);
		peer.onBeat(message.getSenderVm(), message.getSenderIncarnation(), beat.getDraining(), age, this.loop.nowMs());
		review(peer);
	}

	private void review(Peer peer) {
		boolean live = peer.heardWithin(SILENCE_MS, this.loop.nowMs()) && peer.hearsThis(HEARS_MS);
		if (live && peer.setLive(true)) {
			this.log.event(EventCode.VM_HEARD, "vm", peer.vm(), "address", peer.address());
		}
		else if (!live && peer.live()) {
			lose(peer, "silent for " + peer.heardAgeMs(this.loop.nowMs()) + " ms");
		}
	}

	private void lose(Peer peer, String reason) {
		peer.setLive(false);
		this.log.event(EventCode.VM_LOST, "vm", peer.vm(), "reason", reason);
		this.messages.onLost(peer.vm());
	}

	private void beat() {
		long now = this.loop.nowMs();
		new ArrayList<>(this.peers.values()).forEach(this::review);
		NodeBeat.Builder beat = NodeBeat.newBuilder().setAddress(this.own.toString()).setDraining(this.draining);
		for (Peer peer : this.peers.values()) {
			if (peer.heardWithin(SILENCE_MS, now)) {
				beat.addPeers(PeerBrief.newBuilder().setVm(peer.vm()).setAgeMs((int) peer.heardAgeMs(now)));
			}
		}
		for (Peer peer : this.peers.values()) {
			if (peer.heardWithin(SILENCE_MS, now) || peer.tryNow(RETRY_MS, now)) {
				peer.client().send(Envelope.newBuilder().setNodeBeat(beat));
			}
		}
	}

	/**
	 * Send a message to a VM.
	 * @param name the VM
	 * @param message the message
	 */
	public void send(String name, Envelope.Builder message) {
		peer(name).ifPresent((peer) -> peer.client().send(message));
	}

	private Optional<Peer> peer(String name) {
		return this.peers.values().stream().filter((peer) -> peer.vm().equals(name)).findFirst();
	}

	/**
	 * Return the VMs that can take work for others.
	 * @return names of live VMs that are not draining, this one included unless it is
	 */
	public List<String> workingVms() {
		List<String> names = new ArrayList<>();
		if (!this.draining) {
			names.add(this.vm);
		}
		for (Peer peer : this.peers.values()) {
			if (peer.live() && !peer.draining()) {
				names.add(peer.vm());
			}
		}
		return names;
	}

	/**
	 * Return how many VMs live.
	 * @return the count, this one included
	 */
	public int liveVms() {
		return 1 + (int) this.peers.values().stream().filter(Peer::live).count();
	}

	/** Tell the others that this VM leaves. */
	public void drain() {
		this.draining = true;
		beat();
	}

}
