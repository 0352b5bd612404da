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
 * Keeps stewards in step: heartbeats to a few random peers, each of which tells versions,
 * and a pull of whatever a peer has newer. News is passed on at once, in the same way.
 * <p>
 * Cost per VM does not grow with the fleet: a heartbeat has a bounded size and goes to a
 * fixed number of peers. Not thread-safe: confined to the control thread.
 *
 * @since 0.1
 */
final class Gossip {

	private static final int BRIEFS = 8;

	private static final long CALL_TIMEOUT_MS = 1_000;

	private static final long PULL_TIMEOUT_MS = 3_000;

	private final FleetState state;

	private final PeerDirectory peers;

	private final SerialExecutor control;

	private final LongSupplier monotonicMs;

	private final Random random;

	private final int fanout;

	private boolean draining;

	private long heardMs = Long.MIN_VALUE;

	private int rounds;

	private int answersPending;

	Gossip(FleetState state, PeerDirectory peers, SerialExecutor control, LongSupplier monotonicMs, Random random,
			int fanout) {
		this.state = state;
		this.peers = peers;
		this.control = control;
		this.monotonicMs = monotonicMs;
		this.random = random;
		this.fanout = fanout;
	}

	void draining(boolean drains) {
		this.draining = drains;
	}

	/**
	 * Send heartbeats to a few random peers.
	 */
	void round() {
		this.rounds++;
		this.peers.prune();
		List<Address> targets = new ArrayList<>(this.peers.targets());
		Collections.shuffle(targets, this.random);
		for (Address target : targets.subList(0, Math.min(this.fanout, targets.size()))) {
			beat(this.peers.client(target));
		}
	}

	private void beat(WireCaller client) {
		this.answersPending++;
		client.call(Envelope.newBuilder().setHeartbeat(heartbeat()), CALL_TIMEOUT_MS)
			.thenAccept((reply) -> this.control.execute("heartbeat", () -> {
				this.answersPending--;
				reply.peek((message) -> {
					hear(message);
					compare(message.getHeartbeat(), client);
				});
			}));
	}

	private Heartbeat heartbeat() {
		Heartbeat.Builder beat = Heartbeat.newBuilder()
			.setDraining(this.draining)
			.setLeavingDigest(this.state.leavingDigest());
		for (VersionedRegister register : this.state.registers()) {
			beat.addRegisters(version(register));
		}
		long nowMs = this.monotonicMs.getAsLong();
		List<String> known = this.peers.table().active(nowMs, Integer.MAX_VALUE);
		for (String vm : PeerTable.sample(known, BRIEFS, this.random::nextInt)) {
			Peer peer = this.peers.table().peer(vm);
			if (peer != null) {
				beat.addPeers(PeerBrief.newBuilder()
					.setVm(vm)
					.setIncarnation(peer.incarnation())
					.setDraining(peer.draining())
					.setAgeMs((int) Math.min(nowMs - peer.lastHeardMs(), Integer.MAX_VALUE)));
			}
		}
		return beat.build();
	}

	private static RegisterVersion version(VersionedRegister register) {
		return RegisterVersion.newBuilder().setName(register.name()).setVersion(register.version()).build();
	}

	private void hear(Envelope message) {
		long nowMs = this.monotonicMs.getAsLong();
		this.heardMs = nowMs;
		Heartbeat beat = message.getHeartbeat();
		this.peers.hear(new Peer(message.getSenderVm(), message.getSenderIncarnation(), beat.getDraining(), nowMs));
		for (PeerBrief brief : beat.getPeersList()) {
			this.peers.hear(new Peer(brief.getVm(), brief.getIncarnation(), brief.getDraining(),
					nowMs - Integer.toUnsignedLong(brief.getAgeMs())));
		}
	}

	/**
	 * Answer a heartbeat.
	 * @param message the heartbeat
	 * @return the answer
	 */
	Envelope.Builder onHeartbeat(Envelope message) {
		hear(message);
		this.peers.client(message.getSenderVm()).ifPresent((client) -> compare(message.getHeartbeat(), client));
		return Envelope.newBuilder().setHeartbeat(heartbeat());
	}

	private void compare(Heartbeat beat, WireCaller client) {
		boolean behind = beat.getRegistersList()
			.stream()
			.anyMatch((remote) -> this.state.registers()
				.stream()
				.anyMatch((own) -> own.name().equals(remote.getName()) && own.version() < remote.getVersion()));
		if (behind) {
			pull(client);
		}
		if (beat.getLeavingDigest() != this.state.leavingDigest()) {
			client.send(Envelope.newBuilder()
				.setLeavingNotice(LeavingNotice.newBuilder().addAllUpstreams(this.state.leaving())));
		}
	}

	private void pull(WireCaller client) {
		PullRequest.Builder request = PullRequest.newBuilder();
		this.state.registers().forEach((register) -> request.addHave(version(register)));
		client.call(Envelope.newBuilder().setPullRequest(request), PULL_TIMEOUT_MS)
			.thenAccept((reply) -> this.control.execute("pull",
					() -> reply.peek((message) -> take(message.getPullReply(), client, message.getSenderVm()))));
	}

	private void take(PullReply reply, WireCaller client, String source) {
		boolean news = false;
		for (RegisterValue value : reply.getValuesList()) {
			news |= this.state.offer(value.getName(), value.getVersion(), value.getValue().toByteArray(), source);
		}
		List<String> missing = this.state.missingBlobs();
		if (!missing.isEmpty()) {
			client
				.call(Envelope.newBuilder().setBlobRequest(BlobRequest.newBuilder().addAllDigests(missing)),
						PULL_TIMEOUT_MS)
				.thenAccept((answer) -> this.control.execute("parts",
						() -> answer.peek((message) -> takeBlobs(message.getBlobReply(), source))));
		}
		if (news) {
			round();
		}
	}

	private void takeBlobs(BlobReply reply, String source) {
		long before = this.state.manifest().version();
		for (Blob blob : reply.getBlobsList()) {
			this.state.offerBlob(blob.getDigest(), blob.getValue().toByteArray(), source);
		}
		if (this.state.manifest().version() > before) {
			round();
		}
	}

	PullReply onPull(PullRequest request) {
		PullReply.Builder reply = PullReply.newBuilder();
		for (RegisterVersion have : request.getHaveList()) {
			VersionedRegister own = this.state.register(have.getName());
			if (own.version() > have.getVersion()) {
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

	void onLeaving(LeavingNotice notice) {
		if (this.state.offerLeaving(notice.getUpstreamsList())) {
			round();
		}
	}

	/**
	 * Return when a peer was last heard.
	 * @return by the monotonic clock; {@link Long#MIN_VALUE} if never
	 */
	long heardMs() {
		return this.heardMs;
	}

	/**
	 * Return whether every peer that was asked has answered or has been given up.
	 * @return true once a round is over
	 */
	boolean settled() {
		return this.rounds > 0 && this.answersPending == 0;
	}

}
