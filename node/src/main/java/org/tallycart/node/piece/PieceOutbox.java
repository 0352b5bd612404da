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
 * Collects what is said of pieces to other VMs within one turn of the event loop, and
 * sends each VM one message of each kind.
 * <p>
 * Invariant: a VM hears of withdrawn pieces and of results given back before it is asked
 * for new ones. Not thread-safe: belongs to the event loop.
 */
final class PieceOutbox {

	private final EventLoop loop;

	private final Map<String, PieceAsks.Builder> asks = new HashMap<>();

	private final Map<String, PieceAnswers.Builder> answers = new HashMap<>();

	private final Map<String, PieceWithdrawals.Builder> withdrawals = new HashMap<>();

	private final Map<String, PieceReleases.Builder> releases = new HashMap<>();

	private Optional<PeerMesh> mesh = Optional.empty();

	private boolean sendPlanned;

	PieceOutbox(EventLoop loop) {
		this.loop = loop;
	}

	void start(PeerMesh peers) {
		this.mesh = Optional.of(peers);
	}

	void ask(String to, PieceAsk ask) {
		this.asks.computeIfAbsent(to, (key) -> PieceAsks.newBuilder()).addAsks(ask);
		planSend();
	}

	void answer(String to, PieceAnswer answer) {
		this.answers.computeIfAbsent(to, (key) -> PieceAnswers.newBuilder()).addAnswers(answer);
		planSend();
	}

	void withdraw(String to, PieceWithdrawal withdrawal) {
		this.withdrawals.computeIfAbsent(to, (key) -> PieceWithdrawals.newBuilder()).addWithdrawals(withdrawal);
		planSend();
	}

	void release(String to, String service, List<String> handles) {
		this.releases.computeIfAbsent(to, (key) -> PieceReleases.newBuilder())
			.addReleases(PieceRelease.newBuilder().setService(service).addAllHandles(handles));
		planSend();
	}

	private void planSend() {
		if (!this.sendPlanned) {
			this.sendPlanned = true;
			this.loop.execute(this::sendAll);
		}
	}

	private void sendAll() {
		this.sendPlanned = false;
		this.mesh.ifPresent(this::sendAll);
		this.withdrawals.clear();
		this.releases.clear();
		this.asks.clear();
		this.answers.clear();
	}

	private void sendAll(PeerMesh peers) {
		this.withdrawals.forEach((to, message) -> peers.send(to, Envelope.newBuilder().setPieceWithdrawals(message)));
		this.releases.forEach((to, message) -> peers.send(to, Envelope.newBuilder().setPieceReleases(message)));
		this.asks.forEach((to, message) -> peers.send(to, Envelope.newBuilder().setPieceAsks(message)));
		this.answers.forEach((to, message) -> peers.reply(to, Envelope.newBuilder().setPieceAnswers(message)));
	}

}
