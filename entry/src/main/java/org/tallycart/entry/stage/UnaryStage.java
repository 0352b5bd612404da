package org.tallycart.entry.stage;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.declaration.Service;
import org.tallycart.core.declaration.StageKind;
import org.tallycart.core.declaration.Upstream;
import org.tallycart.core.outcome.AttemptState;
import org.tallycart.core.outcome.Outcome;
import org.tallycart.core.outcome.Reason;
import org.tallycart.core.outcome.RequestResult;
import org.tallycart.http.HttpCall;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.process.Clocks;

/**
 * Runs a stage call that has a single reply: one attempt, and further attempts within the
 * retry budget, as retries after a failure or as hedges of a slow attempt. Only
 * repeatable requests are hedged.
 * <p>
 * Invariant: at most one result is accepted, as decided by the attempt tracker. Not
 * thread-safe: one instance runs one stage call, on the request's thread.
 *
 * @since 0.1
 */
final class UnaryStage {

	private static final Map<StageKind, StageProtocol> PROTOCOLS = new EnumMap<>(
			Map.of(StageKind.ENCODE, new EncodeProtocol(), StageKind.RETRIEVE, new RetrieveProtocol(), StageKind.RERANK,
					new RerankProtocol(), StageKind.PLAIN, new PlainProtocol()));

	private final StageContext shared;

	private final RequestContext context;

	private final Service service;

	private final PipelineData data;

	private final StageProtocol protocol;

	private final LinkedBlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();

	private final List<UpstreamCall> running = new ArrayList<>();

	private final Set<String> tried = new HashSet<>();

	private int launched;

	private @Nullable AttemptFailure lastFailure;

	UnaryStage(StageContext shared, RequestContext context, Service service, PipelineData data) {
		this.shared = shared;
		this.context = context;
		this.service = service;
		this.data = data;
		this.protocol = Objects.requireNonNull(PROTOCOLS.get(service.kind()));
	}

	/**
	 * Run the call.
	 * @return the data with the stage's result, or the result if the call failed
	 */
	Either<RequestResult, PipelineData> run() {
		this.shared.retryBudget().onFirstAttempt();
		if (!launch()) {
			return Either.left(noUpstream());
		}
		long hedgeDelayMs = this.shared.latencies().hedgeDelayMs(this.service);
		boolean hedgingAllowed = this.context.request().repeatable();
		while (true) {
			long remaining = this.context.remainingMs();
			boolean canHedge = hedgingAllowed && hedgeDelayMs < remaining;
			AttemptResult result = pollResult(canHedge ? hedgeDelayMs : remaining);
			if (result == null && !canHedge) {
				abandonAll(CostMeter.Use.ABANDONED);
				return Either.left(RequestResult.of(Outcome.FAILED, Reason.DEADLINE,
						this.service.id() + " did not answer in time"));
			}
			if (result == null) {
				hedgingAllowed = tryLaunchExtra();
				continue;
			}
			if (result.outcome().isRight()) {
				Optional<PipelineData> accepted = accept(result, result.outcome().get());
				if (accepted.isPresent()) {
					return Either.right(accepted.get());
				}
			}
			boolean pending = result.outcome().isRight() || onFailure(result, result.outcome().getLeft());
			if (!pending) {
				return Either.left(failureResult());
			}
		}
	}

	private @Nullable AttemptResult pollResult(long waitMs) {
		try {
			return this.results.poll(Math.max(waitMs, 0), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return null;
		}
	}

	private Optional<PipelineData> accept(AttemptResult result, PipelineData output) {
		removeRunning(result.number());
		if (!this.context.attempts().accept(result.number())) {
			this.shared.events()
				.emit(EventCode.ANSWER_DROPPED, this.context.request().id(),
						this.service.id() + " attempt " + result.number());
			return Optional.empty();
		}
		this.context.cost().add(this.service, CostMeter.Use.USEFUL, 0);
		abandonAll(CostMeter.Use.HEDGED);
		return Optional.of(output);
	}

	private boolean onFailure(AttemptResult result, AttemptFailure failure) {
		removeRunning(result.number());
		this.context.attempts().close(result.number(), failure.state());
		this.lastFailure = failure;
		if (failure.reason() == Reason.DEADLINE) {
			abandonAll(CostMeter.Use.ABANDONED);
			return false;
		}
		boolean retry = isRetryable(failure) && tryLaunchExtra();
		this.context.cost().add(this.service, retry ? CostMeter.Use.RETRIED : CostMeter.Use.ABANDONED, 0);
		return retry || !this.running.isEmpty();
	}

	private boolean isRetryable(AttemptFailure failure) {
		return this.context.request().repeatable() || failure.state() == AttemptState.REFUSED
				|| this.context.attempts().begunCount() == 0;
	}

	private boolean tryLaunchExtra() {
		boolean allowed = this.launched < this.context.pipeline().maxAttempts()
				&& this.shared.retryBudget().tryAcquire();
		return allowed && launch();
	}

	private boolean launch() {
		Optional<Upstream> upstream = this.shared.router().choose(this.context, this.service, this.tried);
		if (upstream.isEmpty()) {
			return false;
		}
		this.tried.add(upstream.get().id());
		int number = this.context.attempts().plan(this.service.id());
		UpstreamCall call = new UpstreamCall(this.context, this.service, upstream.get(), number, this.shared.pool());
		this.launched++;
		this.running.add(call);
		try {
			this.shared.executor().execute(() -> this.results.add(attempt(call)));
		}
		catch (RejectedExecutionException ex) {
			this.shared.router().onFailure(call.upstream(), false, "");
			this.results.add(new AttemptResult(number, call.upstream(), Either
				.left(new AttemptFailure(AttemptState.ABANDONED, Reason.QUEUE_FULL, "no thread is free", false))));
		}
		return true;
	}

	private AttemptResult attempt(UpstreamCall call) {
		String request = this.context.request().id();
		this.shared.events()
			.emit(EventCode.ATTEMPT_BEGAN, request,
					this.service.id() + "#" + call.number() + " at " + call.upstream().id());
		long startedMs = Clocks.SYSTEM.monotonicMs();
		HttpCall.Builder post = HttpCall.post(this.protocol.path(this.service),
				Json.bytes(this.protocol.request(this.data, this.service)));
		Either<AttemptFailure, PipelineData> outcome = call.open(post, this.context.remainingMs())
			.flatMap((stream) -> stream.readFully().mapLeft(call::toAttemptFailure))
			.flatMap((reply) -> Json.read(reply.text())
				.flatMap((body) -> this.protocol.parseReply(this.data, body))
				.mapLeft(AttemptFailure::unreadable));
		call.releaseConnection();
		recordOutcome(call, outcome, Clocks.SYSTEM.monotonicMs() - startedMs);
		this.shared.events()
			.emit(EventCode.ATTEMPT_ENDED, request, this.service.id() + "#" + call.number() + " at "
					+ call.upstream().id() + outcome.fold((failure) -> " " + failure.message(), (output) -> " ok"));
		return new AttemptResult(call.number(), call.upstream(), outcome);
	}

	private void recordOutcome(UpstreamCall call, Either<AttemptFailure, PipelineData> outcome, long millis) {
		if (outcome.isRight()) {
			this.shared.latencies().addCall(this.service, millis);
			this.shared.router().onSuccess(this.service, call.upstream(), 1, millis);
			return;
		}
		if (call.isCancelled() && outcome.getLeft().state() == AttemptState.ABANDONED) {
			// The attempt was cancelled, so its time is only a lower bound.
			this.shared.router().onTimeout(this.service, call.upstream(), 1, millis);
			return;
		}
		if (outcome.getLeft().message().equals(UpstreamCall.DRAINING)) {
			this.shared.router().onDraining(call.upstream().id());
		}
		this.shared.router().onFailure(call.upstream(), outcome.getLeft().blame(), outcome.getLeft().message());
	}

	private void abandonAll(CostMeter.Use use) {
		for (UpstreamCall call : this.running) {
			this.context.attempts().close(call.number(), AttemptState.ABANDONED);
			this.context.cost().add(this.service, use, 0);
			call.cancel();
		}
		this.running.clear();
	}

	private void removeRunning(int number) {
		this.running.removeIf((call) -> call.number() == number);
	}

	private RequestResult noUpstream() {
		return new RequestResult(Outcome.NOT_RUN, Reason.NO_UPSTREAM,
				"no upstream of " + this.service.id() + " can be used", StageRunner.RETRY_AFTER_MS);
	}

	private RequestResult failureResult() {
		AttemptFailure failure = this.lastFailure;
		if (failure == null) {
			return noUpstream();
		}
		return new RequestResult(Outcome.NOT_RUN, failure.reason(), this.service.id() + ": " + failure.message(),
				StageRunner.RETRY_AFTER_MS);
	}

}
