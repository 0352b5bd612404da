package org.tallycart.node.piece;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.tallycart.core.crash.Suspect;
import org.tallycart.core.pool.PieceId;
import org.tallycart.core.pool.PieceJob;
import org.tallycart.core.pool.PieceListener;
import org.tallycart.core.pool.PieceOutcome;
import org.tallycart.core.pool.PoolCall;
import org.tallycart.core.pool.PoolDispatcher;
import org.tallycart.core.serving.PoolSpec;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.core.serving.UpstreamReply;
import org.tallycart.http.event.CallFailure;
import org.tallycart.http.event.HttpExchange;
import org.tallycart.http.event.WholeReply;
import org.tallycart.http.event.WholeReplyCall;
import org.tallycart.node.crash.InterruptedRequest;
import org.tallycart.platform.http.PieceCodec;
import org.tallycart.platform.http.UpstreamCodec;
import org.tallycart.runtime.event.EventCode;

/**
 * Makes the calls that a pool's dispatcher decides on.
 * <p>
 * Not thread-safe: belongs to the event loop.
 */
final class PoolDriver {

	/** Time between two looks at overdue calls and late pieces, in milliseconds. */
	static final long TICK_MS = 25;

	/** A call is given up after this many times its expected length, plus a margin. */
	private static final double GIVE_UP_FACTOR = 6;

	private static final long GIVE_UP_MARGIN_MS = 1_000;

	private static final int CONNECT_TIMEOUT_MS = 300;

	private final String service;

	private final PoolContext parts;

	private final PoolDispatcher dispatcher;

	private boolean pumpPlanned;

	PoolDriver(String service, PoolSpec spec, PoolContext parts) {
		this.service = service;
		this.parts = parts;
		this.dispatcher = new PoolDispatcher(spec, parts.callLimit());
	}

	void update(PoolSpec spec) {
		this.dispatcher.updateSpec(spec);
		planPump();
	}

	void updateWorkers(List<UpstreamEntry> workers, Set<String> evacuated) {
		this.dispatcher.updateWorkers(workers, evacuated);
		planPump();
	}

	void ask(PieceJob job, PieceListener asker) {
		this.dispatcher.submit(job, asker);
		planPump();
	}

	void release(List<String> handles) {
		this.parts.returns().give(handles);
		this.parts.loop().schedule(ResultReleaser.ROOM_BACK_MS, () -> {
			this.dispatcher.release(handles);
			planPump();
		});
	}

	void withdraw(PieceId id) {
		this.dispatcher.withdraw(id);
	}

	void stop() {
		this.dispatcher.stop();
	}

	void resume() {
		this.dispatcher.resume();
	}

	boolean idle() {
		return this.dispatcher.queueSize() == 0 && this.dispatcher.callsInProgress() == 0;
	}

	void tick() {
		if (!idle()) {
			this.dispatcher.tick(this.parts.loop().nowMs());
			pump();
		}
	}

	// Pieces that are asked for together go into one call, so the pump runs after them.
	private void planPump() {
		if (!this.pumpPlanned) {
			this.pumpPlanned = true;
			this.parts.loop().execute(() -> {
				this.pumpPlanned = false;
				pump();
			});
		}
	}

	private void pump() {
		while (true) {
			Optional<PoolCall> call = this.dispatcher.nextCall(this.parts.loop().nowMs());
			if (call.isEmpty()) {
				return;
			}
			make(call.get());
		}
	}

	private void make(PoolCall call) {
		UpstreamEntry worker = call.worker();
		this.parts.log()
			.event(EventCode.POOL_CALL_MADE, "service", this.service, "worker", worker.id(), "call", call.number(),
					"pieces", call.jobs().size(), "waiting", this.dispatcher.queueSize(), "expected_ms",
					Math.round(call.expectedMs()), "requests", requests(call));
		this.parts.statements().onSend(worker);
		HttpExchange exchange = HttpExchange.to(worker.incarnation(), worker.address(), PieceCodec.runHead(worker))
			.body(PieceCodec.runBody(call.jobs(), call.startedMs()))
			.connectTimeoutMs(CONNECT_TIMEOUT_MS)
			.build();
		long timeoutMs = (long) (call.expectedMs() * GIVE_UP_FACTOR) + GIVE_UP_MARGIN_MS;
		WholeReplyCall.start(this.parts.http(), this.parts.loop().executor(), exchange, timeoutMs,
				(outcome) -> onReply(call, outcome));
	}

	private static String requests(PoolCall call) {
		return call.jobs().stream().map((job) -> job.id().requestId()).distinct().collect(Collectors.joining(","));
	}

	private void onReply(PoolCall call, Either<CallFailure, WholeReply> outcome) {
		long now = this.parts.loop().nowMs();
		if (outcome.isLeft()) {
			CallFailure failure = outcome.getLeft();
			logEnd(call, failure.kind() + ": " + failure.detail());
			if (failure.sent()) {
				call.jobs().forEach((job) -> this.parts.crashes().onInterrupted(call.worker(), cut(call, job)));
			}
			this.dispatcher.onFailure(call.number(), failure.sent(), now);
		}
		else {
			onAnswer(call, outcome.get(), now);
		}
		planPump();
	}

	// A worker answers a call when all its pieces are made.
	private static InterruptedRequest cut(PoolCall call, PieceJob job) {
		return new InterruptedRequest(new Suspect(job.fingerprint(), job.id().requestId(), call.startedMs()),
				InterruptedRequest.NOT_ANSWERED);
	}

	private void onAnswer(PoolCall call, WholeReply reply, long now) {
		UpstreamReply head = UpstreamCodec.decode(reply.head());
		this.parts.statements().onReply(call.worker(), head);
		Either<String, List<PieceOutcome>> outcomes = PieceCodec.outcomes(reply.head(), reply.body(),
				call.jobs().size());
		if (outcomes.isLeft()) {
			logEnd(call, outcomes.getLeft());
			this.dispatcher.onFailure(call.number(), !head.notRun(), now);
			return;
		}
		long made = outcomes.get().stream().filter((o) -> o.status() == PieceOutcome.Status.MADE).count();
		logEnd(call, "made " + made);
		release(this.dispatcher.onAnswer(call.number(), outcomes.get(), now));
	}

	private void logEnd(PoolCall call, String outcome) {
		this.parts.metrics().onPoolCall(call.jobs().size(), this.parts.loop().nowMs() - call.startedMs());
		this.parts.log()
			.event(EventCode.POOL_CALL_ENDED, "service", this.service, "worker", call.worker().id(), "call",
					call.number(), "pieces", call.jobs().size(), "took_ms",
					this.parts.loop().nowMs() - call.startedMs(), "outcome", outcome);
	}

}
