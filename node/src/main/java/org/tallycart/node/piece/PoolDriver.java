package org.tallycart.node.piece;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.crash.Suspect;
import org.tallycart.core.pool.PieceId;
import org.tallycart.core.pool.PieceJob;
import org.tallycart.core.pool.PieceListener;
import org.tallycart.core.pool.PieceOutcome;
import org.tallycart.core.pool.PoolCall;
import org.tallycart.core.pool.PoolDispatcher;
import org.tallycart.core.pool.PoolLoad;
import org.tallycart.core.serving.PoolSpec;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.core.serving.UpstreamReply;
import org.tallycart.http.event.CallFailure;
import org.tallycart.http.event.ClientRequest;
import org.tallycart.http.event.FullReply;
import org.tallycart.http.event.FullReplyCall;
import org.tallycart.node.crash.InterruptedRequest;
import org.tallycart.platform.http.PieceCodec;
import org.tallycart.platform.http.UpstreamCodec;
import org.tallycart.runtime.event.EventCode;

/**
 * Executes the calls that the dispatcher of a pool decides on, and feeds it their
 * results.
 * <p>
 * Not thread-safe: confined to the event loop.
 */
final class PoolDriver {

	/** Interval of the checks for overdue calls and late pieces, in milliseconds. */
	static final long TICK_MS = 25;

	/** Interval of the reports of overload by workspace, in milliseconds. */
	private static final long OVERLOAD_REPORT_MS = 1_000;

	/** Timeout of a call, as a multiple of its expected duration; a margin is added. */
	private static final double CALL_TIMEOUT_FACTOR = 6;

	private static final long CALL_TIMEOUT_MARGIN_MS = 1_000;

	private static final int CONNECT_TIMEOUT_MS = 300;

	/** Least time between two computations of the load, in milliseconds. */
	private static final long LOAD_PERIOD_MS = 100;

	/** Failures after which a worker has not crashed: it was silent, or still sending. */
	private static final Set<CallFailure.Kind> NO_CRASH = Set.of(CallFailure.Kind.TIMED_OUT,
			CallFailure.Kind.LIMIT_EXCEEDED);

	private final String service;

	private final PoolContext context;

	private final PoolDispatcher dispatcher;

	private boolean dispatchScheduled;

	private @Nullable PoolLoad load;

	private long loadAtMs;

	private long overloadReportedMs;

	PoolDriver(String service, PoolSpec spec, PoolContext context) {
		this.service = service;
		this.context = context;
		this.dispatcher = new PoolDispatcher(spec, context.callLimiter());
	}

	void update(PoolSpec spec) {
		this.dispatcher.updateSpec(spec);
		scheduleDispatch();
	}

	void updateWorkers(List<UpstreamEntry> workers, Set<String> evacuatedDomains) {
		this.dispatcher.updateWorkers(workers, evacuatedDomains);
		scheduleDispatch();
	}

	void submit(PieceJob job, PieceListener listener) {
		this.dispatcher.submit(job, listener);
		scheduleDispatch();
	}

	void release(List<String> handles) {
		this.context.releaser().release(handles);
		this.context.loop().schedule(ResultReleaser.RELEASE_DELAY_MS, () -> {
			this.dispatcher.release(handles);
			scheduleDispatch();
		});
	}

	void withdraw(PieceId id) {
		this.dispatcher.withdraw(id);
	}

	void stop() {
		this.dispatcher.stop();
	}

	void handBackRunning() {
		this.dispatcher.handBackRunning();
	}

	void resume() {
		this.dispatcher.resume();
	}

	// Computed at most once within LOAD_PERIOD_MS, since every VM asks for it.
	PoolLoad load() {
		long now = this.context.loop().nowMs();
		if (this.load == null || now - this.loadAtMs >= LOAD_PERIOD_MS) {
			this.load = this.dispatcher.load(this.service, now);
			this.loadAtMs = now;
		}
		return this.load;
	}

	boolean idle() {
		return this.dispatcher.queueSize() == 0 && this.dispatcher.callsInProgress() == 0;
	}

	void tick() {
		if (!idle()) {
			this.dispatcher.tick(this.context.loop().nowMs());
			dispatchCalls();
			reportOverload(this.context.loop().nowMs());
		}
	}

	private void reportOverload(long now) {
		if (now - this.overloadReportedMs < OVERLOAD_REPORT_MS) {
			return;
		}
		this.overloadReportedMs = now;
		this.dispatcher.takeOverload(now).forEach((workspace, overload) -> {
			this.context.metrics().onPoolOverload(this.service, workspace, overload);
			if (overload.isAffected()) {
				this.context.log()
					.event(EventCode.POOL_OVERLOADED, "service", this.service, "workspace", workspace, "share",
							String.format(Locale.ROOT, "%.2f", overload.share()), "deferred", overload.deferred(),
							"shed", overload.shed(), "expired", overload.expired(), "returned", overload.returned());
			}
		});
	}

	// Runs after the current event, so that pieces submitted together share a call.
	private void scheduleDispatch() {
		if (!this.dispatchScheduled) {
			this.dispatchScheduled = true;
			this.context.loop().execute(() -> {
				this.dispatchScheduled = false;
				dispatchCalls();
			});
		}
	}

	private void dispatchCalls() {
		while (true) {
			Optional<PoolCall> call = this.dispatcher.nextCall(this.context.loop().nowMs());
			if (call.isEmpty()) {
				return;
			}
			start(call.get());
		}
	}

	private void start(PoolCall call) {
		UpstreamEntry worker = call.worker();
		this.context.log()
			.event(EventCode.POOL_CALL_MADE, "service", this.service, "worker", worker.id(), "call", call.number(),
					"pieces", call.jobs().size(), "waiting", this.dispatcher.queueSize(), "expected_ms",
					Math.round(call.expectedMs()), "requests", requests(call));
		this.context.statements().onSend(worker);
		ClientRequest exchange = StageCalls
			.builder(worker, worker.address(), PieceCodec.runHead(worker, StageCalls.newId()))
			.body(PieceCodec.runBody(call.jobs(), call.startedMs()))
			.connectTimeoutMs(CONNECT_TIMEOUT_MS)
			.build();
		long timeoutMs = (long) (call.expectedMs() * CALL_TIMEOUT_FACTOR) + CALL_TIMEOUT_MARGIN_MS;
		FullReplyCall.start(this.context.http(), this.context.loop().executor(), exchange, timeoutMs,
				(outcome) -> onReply(call, outcome));
	}

	private static String requests(PoolCall call) {
		return call.jobs().stream().map((job) -> job.id().requestId()).distinct().collect(Collectors.joining(","));
	}

	private void onReply(PoolCall call, Either<CallFailure, FullReply> outcome) {
		long now = this.context.loop().nowMs();
		if (outcome.isLeft()) {
			CallFailure failure = outcome.getLeft();
			logEnd(call, failure.kind() + ": " + failure.detail());
			if (failure.kind() == CallFailure.Kind.LIMIT_EXCEEDED) {
				onLimitExceeded(call, failure);
			}
			if (failure.sent() && !NO_CRASH.contains(failure.kind())) {
				call.jobs()
					.forEach(
							(job) -> this.context.crashDetector().onInterrupted(call.worker(), interrupted(call, job)));
			}
			this.dispatcher.onFailure(call.number(), failure.sent(), now);
		}
		else {
			onAnswer(call, outcome.get(), now);
		}
		scheduleDispatch();
	}

	private void onLimitExceeded(PoolCall call, CallFailure failure) {
		this.context.metrics().onLimitExceeded(failure);
		this.context.log()
			.event(EventCode.REPLY_EXCEEDS_LIMIT, "upstream", call.worker().id(), "call", call.number(), "detail",
					failure.detail());
	}

	// A worker replies only once all pieces are completed, so no reply had started.
	private static InterruptedRequest interrupted(PoolCall call, PieceJob job) {
		return new InterruptedRequest(new Suspect(job.fingerprint(), job.id().requestId(), call.startedMs()),
				InterruptedRequest.NOT_ANSWERED);
	}

	private void onAnswer(PoolCall call, FullReply reply, long now) {
		UpstreamReply head = UpstreamCodec.decode(reply.head());
		this.context.statements().onReply(call.worker(), head);
		Either<String, List<PieceOutcome>> outcomes = PieceCodec.decodeOutcomes(reply.head(), reply.body(),
				call.jobs().size());
		if (outcomes.isLeft()) {
			logEnd(call, outcomes.getLeft());
			this.dispatcher.onFailure(call.number(), !head.notRun(), now);
			return;
		}
		long completed = outcomes.get().stream().filter((o) -> o.status() == PieceOutcome.Status.MADE).count();
		logEnd(call, "completed " + completed);
		release(this.dispatcher.onReply(call.number(), outcomes.get(), now));
	}

	private void logEnd(PoolCall call, String outcome) {
		this.context.metrics().onPoolCall(call.jobs().size(), this.context.loop().nowMs() - call.startedMs());
		this.context.log()
			.event(EventCode.POOL_CALL_ENDED, "service", this.service, "worker", call.worker().id(), "call",
					call.number(), "pieces", call.jobs().size(), "took_ms",
					this.context.loop().nowMs() - call.startedMs(), "outcome", outcome);
	}

}
