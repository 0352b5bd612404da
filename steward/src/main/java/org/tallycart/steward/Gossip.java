package org.tallycart.steward;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.LongSupplier;

import com.google.protobuf.ByteString;
import org.tallycart.core.ini.Address;
import org.tallycart.core.membership.Peer;
import org.tallycart.core.membership.PeerTable;
import org.tallycart.core.replication.VersionedRegister;
import org.tallycart.wire.WireCaller;
import org.tallycart.wire.message.Blob;
import org.tallycart.wire.message.BlobReply;
import org.tallycart.wire.message.BlobRequest;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.Heartbeat;
import org.tallycart.wire.message.LeavingNotice;
import org.tallycart.wire.message.PeerBrief;
import org.tallycart.wire.message.PullReply;
import org.tallycart.wire.message.PullRequest;
import org.tallycart.wire.message.RegisterValue;
import org.tallycart.wire.message.RegisterVersion;

/**
 * Gossip protocol that replicates the fleet's state among stewards. Heartbeats to a few
 * random peers carry the versions of the registers; a steward pulls those that a peer has
 * newer. An applied update starts a further round at once.
 * <p>
 * The cost per VM and round does not grow with the fleet: a heartbeat has a bounded size
 * and goes to a fixed number of peers. Not thread-safe: confined to the control thread.
 *
 * @since 0.1
 */
final class Gossip {

	private static final int MAX_PEER_BRIEFS = 8;

	private static final long CALL_TIMEOUT_MS = 1_000;

	private static final long PULL_TIMEOUT_MS = 3_000;

	private final FleetState state;

	private final PeerDirectory peers;

	private final SerialExecutor control;

	private final LongSupplier monotonicMs;

	private final Random random;

	private final int fanout;

	private boolean draining;

	private long lastHeardMs = Long.MIN_VALUE;

	private int rounds;

	private int pendingReplies;

	Gossip(FleetState state, PeerDirectory peers, SerialExecutor control, LongSupplier monotonicMs, Random random,
			int fanout) {
		this.state = state;
		this.peers = peers;
		this.control = control;
		this.monotonicMs = monotonicMs;
		this.random = random;
		this.fanout = fanout;
	}

	void setDraining(boolean draining) {
		this.draining = draining;
	}

	/**
	 * Send heartbeats to as many random peers as the fanout says.
	 */
	void round() {
		this.rounds++;
		this.peers.removeUnlisted();
		List<Address> targets = new ArrayList<>(this.peers.heartbeatTargets());
		Collections.shuffle(targets, this.random);
		for (Address target : targets.subList(0, Math.min(this.fanout, targets.size()))) {
			sendHeartbeat(this.peers.client(target));
		}
	}

	private void sendHeartbeat(WireCaller client) {
		this.pendingReplies++;
		client.call(Envelope.newBuilder().setHeartbeat(heartbeat()), CALL_TIMEOUT_MS)
			.thenAccept((reply) -> this.control.execute("heartbeat", () -> {
				this.pendingReplies--;
				reply.peek((message) -> {
					updatePeers(message);
					compareState(message.getHeartbeat(), client);
				});
			}));
	}

	private Heartbeat heartbeat() {
		Heartbeat.Builder heartbeat = Heartbeat.newBuilder()
			.setDraining(this.draining)
			.setLeavingDigest(this.state.drainingDigest());
		for (VersionedRegister register : this.state.registers()) {
			heartbeat.addRegisters(version(register));
		}
		long nowMs = this.monotonicMs.getAsLong();
		List<String> active = this.peers.table().active(nowMs, Integer.MAX_VALUE);
		for (String vm : PeerTable.sample(active, MAX_PEER_BRIEFS, this.random::nextInt)) {
			Peer peer = this.peers.table().peer(vm);
			if (peer != null) {
				heartbeat.addPeers(PeerBrief.newBuilder()
					.setVm(vm)
					.setIncarnation(peer.incarnation())
					.setDraining(peer.draining())
					.setAgeMs((int) Math.min(nowMs - peer.lastHeardMs(), Integer.MAX_VALUE)));
			}
		}
		return heartbeat.build();
	}

	private static RegisterVersion version(VersionedRegister register) {
		return RegisterVersion.newBuilder().setName(register.name()).setVersion(register.version()).build();
	}

	private void updatePeers(Envelope message) {
		long nowMs = this.monotonicMs.getAsLong();
		this.lastHeardMs = nowMs;
		Heartbeat heartbeat = message.getHeartbeat();
		this.peers
			.update(new Peer(message.getSenderVm(), message.getSenderIncarnation(), heartbeat.getDraining(), nowMs));
		for (PeerBrief brief : heartbeat.getPeersList()) {
			this.peers.update(new Peer(brief.getVm(), brief.getIncarnation(), brief.getDraining(),
					nowMs - Integer.toUnsignedLong(brief.getAgeMs())));
		}
	}

	/**
	 * Handle a heartbeat request.
	 * @param message the heartbeat request
	 * @return the heartbeat reply
	 */
	Envelope.Builder onHeartbeat(Envelope message) {
		updatePeers(message);
		this.peers.client(message.getSenderVm()).ifPresent((client) -> compareState(message.getHeartbeat(), client));
		return Envelope.newBuilder().setHeartbeat(heartbeat());
	}

	private void compareState(Heartbeat heartbeat, WireCaller client) {
		boolean behind = heartbeat.getRegistersList()
			.stream()
			.anyMatch((remote) -> this.state.registers()
				.stream()
				.anyMatch((own) -> own.name().equals(remote.getName()) && own.version() < remote.getVersion()));
		if (behind) {
			pull(client);
		}
		if (heartbeat.getLeavingDigest() != this.state.drainingDigest()) {
			client.send(Envelope.newBuilder()
				.setLeavingNotice(LeavingNotice.newBuilder().addAllUpstreams(this.state.drainingUpstreams())));
		}
	}

	private void pull(WireCaller client) {
		PullRequest.Builder request = PullRequest.newBuilder();
		this.state.registers().forEach((register) -> request.addHave(version(register)));
		client.call(Envelope.newBuilder().setPullRequest(request), PULL_TIMEOUT_MS)
			.thenAccept((reply) -> this.control.execute("pull", () -> reply
				.peek((message) -> applyPullReply(message.getPullReply(), client, message.getSenderVm()))));
	}

	private void applyPullReply(PullReply reply, WireCaller client, String source) {
		boolean changed = false;
		for (RegisterValue value : reply.getValuesList()) {
			changed |= this.state.offer(value.getName(), value.getVersion(), value.getValue().toByteArray(), source);
		}
		List<String> missing = this.state.missingBlobs();
		if (!missing.isEmpty()) {
			client
				.call(Envelope.newBuilder().setBlobRequest(BlobRequest.newBuilder().addAllDigests(missing)),
						PULL_TIMEOUT_MS)
				.thenAccept((blobReply) -> this.control.execute("parts",
						() -> blobReply.peek((message) -> applyBlobReply(message.getBlobReply(), source))));
		}
		if (changed) {
			round();
		}
	}

	private void applyBlobReply(BlobReply reply, String source) {
		long previousVersion = this.state.manifest().version();
		for (Blob blob : reply.getBlobsList()) {
			this.state.offerBlob(blob.getDigest(), blob.getValue().toByteArray(), source);
		}
		if (this.state.manifest().version() > previousVersion) {
			round();
		}
	}

	PullReply onPullRequest(PullRequest request) {
		PullReply.Builder reply = PullReply.newBuilder();
		for (RegisterVersion held : request.getHaveList()) {
			VersionedRegister own = this.state.register(held.getName());
			if (own.version() > held.getVersion()) {
				reply.addValues(RegisterValue.newBuilder()
					.setName(own.name())
					.setVersion(own.version())
					.setValue(ByteString.copyFrom(own.value())));
			}
		}
		return reply.build();
	}

	BlobReply onBlobRequest(BlobRequest request) {
		BlobReply.Builder reply = BlobReply.newBuilder();
		for (String digest : request.getDigestsList()) {
			byte[] blob = this.state.blob(digest);
			if (blob != null) {
				reply.addBlobs(Blob.newBuilder().setDigest(digest).setValue(ByteString.copyFrom(blob)));
			}
		}
		return reply.build();
	}

	void onLeavingNotice(LeavingNotice notice) {
		if (this.state.offerDraining(notice.getUpstreamsList())) {
			round();
		}
	}

	/**
	 * Return the time of the latest heartbeat from a peer.
	 * @return the time by the monotonic clock; {@link Long#MIN_VALUE} if there was none
	 */
	long lastHeardMs() {
		return this.lastHeardMs;
	}

	/**
	 * Return whether every heartbeat request was replied to or timed out.
	 * @return true if so; false before the first round
	 */
	boolean isRoundComplete() {
		return this.rounds > 0 && this.pendingReplies == 0;
	}

}
