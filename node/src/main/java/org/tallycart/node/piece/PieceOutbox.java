package org.tallycart.node.piece;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.tallycart.node.EventLoop;
import org.tallycart.node.peer.PeerMesh;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.PieceAnswer;
import org.tallycart.wire.message.PieceAnswers;
import org.tallycart.wire.message.PieceAsk;
import org.tallycart.wire.message.PieceAsks;
import org.tallycart.wire.message.PieceRelease;
import org.tallycart.wire.message.PieceReleases;
import org.tallycart.wire.message.PieceWithdrawal;
import org.tallycart.wire.message.PieceWithdrawals;

/**
 * Batches messages about pieces within one iteration of the event loop, so that each VM
 * gets one message of each kind.
 * <p>
 * Invariant: withdrawals and releases are sent to a VM before newly submitted pieces. Not
 * thread-safe: confined to the event loop.
 */
final class PieceOutbox {

	private final EventLoop loop;

	private final Map<String, PieceAsks.Builder> asks = new HashMap<>();

	private final Map<String, PieceAnswers.Builder> answers = new HashMap<>();

	private final Map<String, PieceWithdrawals.Builder> withdrawals = new HashMap<>();

	private final Map<String, PieceReleases.Builder> releases = new HashMap<>();

	private Optional<PeerMesh> mesh = Optional.empty();

	private boolean flushScheduled;

	PieceOutbox(EventLoop loop) {
		this.loop = loop;
	}

	void start(PeerMesh peers) {
		this.mesh = Optional.of(peers);
	}

	void submit(String to, PieceAsk piece) {
		this.asks.computeIfAbsent(to, (key) -> PieceAsks.newBuilder()).addAsks(piece);
		scheduleFlush();
	}

	void reply(String to, PieceAnswer answer) {
		this.answers.computeIfAbsent(to, (key) -> PieceAnswers.newBuilder()).addAnswers(answer);
		scheduleFlush();
	}

	void withdraw(String to, PieceWithdrawal withdrawal) {
		this.withdrawals.computeIfAbsent(to, (key) -> PieceWithdrawals.newBuilder()).addWithdrawals(withdrawal);
		scheduleFlush();
	}

	void release(String to, String service, List<String> handles) {
		this.releases.computeIfAbsent(to, (key) -> PieceReleases.newBuilder())
			.addReleases(PieceRelease.newBuilder().setService(service).addAllHandles(handles));
		scheduleFlush();
	}

	private void scheduleFlush() {
		if (!this.flushScheduled) {
			this.flushScheduled = true;
			this.loop.execute(this::flush);
		}
	}

	private void flush() {
		this.flushScheduled = false;
		this.mesh.ifPresent(this::flush);
		this.withdrawals.clear();
		this.releases.clear();
		this.asks.clear();
		this.answers.clear();
	}

	private void flush(PeerMesh peers) {
		this.withdrawals.forEach((to, message) -> peers.send(to, Envelope.newBuilder().setPieceWithdrawals(message)));
		this.releases.forEach((to, message) -> peers.send(to, Envelope.newBuilder().setPieceReleases(message)));
		this.asks.forEach((to, message) -> peers.send(to, Envelope.newBuilder().setPieceAsks(message)));
		this.answers.forEach((to, message) -> peers.reply(to, Envelope.newBuilder().setPieceAnswers(message)));
	}

}
