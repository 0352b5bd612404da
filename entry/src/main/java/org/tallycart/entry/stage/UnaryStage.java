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
 * A stage call that is answered as a whole: one attempt, and more within the retry budget
 * where the request may be repeated, after a failure or beside a slow attempt.
 * <p>
 * Invariant: one result at most is taken, by the ledger. Not thread-safe: one instance
 * runs one stage call, on the request's thread.
 *
 * @since 0.1
 */
final class UnaryStage {

	private static final Map<StageKind, StageProtocol> PROTOCOLS = new EnumMap<>(
			Map.of(StageKind.ENCODE, new EncodeProtocol(), StageKind.RETRIEVE, new RetrieveProtocol(), StageKind.RERANK,
					new RerankProtocol(), StageKind.PLAIN, new PlainProtocol()));

	private final StageContext tools;

	private final RequestContext context;

	private final Service service;

	private final PipelineData data;

	private final StageProtocol protocol;

	private final LinkedBlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();

	private final List<UpstreamCall> running = new ArrayList<>();

	private final Set<String> tried = new HashSet<>();

	private int launched;

	private @Nullable AttemptFailure lastFailure;

	UnaryStage(StageContext tools, RequestContext context, Service service, PipelineData data) {
		this.tools = tools;
		this.context = context;
		this.service = service;
		this.data = data;
		this.protocol = Objects.requireNonNull(PROTOCOLS.get(service.kind()));
	}

	/**
	 * Run the call.
	 * @return the data with the stage's result, or how the request ends
	 */
	Either<RequestResult, PipelineData> run() {
		this.tools.budget().onFirstAttempt();
		if (!launch()) {
			return Either.left(noUpstream());
		}
		long slowMs = this.tools.times().hedgeDelayMs(this.service);
		boolean mayHedge = this.context.request().repeatable();
		while (true) {
			long remaining = this.context.remainingMs();
			boolean hedgeLater = mayHedge && slowMs < remaining;
			AttemptResult result = next(hedgeLater ? slowMs : remaining);
			if (result == null && !hedgeLater) {
				abandonAll(CostMeter.Use.ABANDONED);
				return Either.left(RequestResult.of(Outcome.FAILED, Reason.DEADLINE,
						this.service.id() + " did not answer in time"));
			}
			if (result == null) {
				mayHedge = launchExtra();
				continue;
			}
			if (result.outcome().isRight()) {
				Optional<PipelineData> taken = take(result, result.outcome().get());
				if (taken.isPresent()) {
					return Either.right(taken.get());
				}
			}
			boolean goesOn = result.outcome().isRight() || onFailure(result, result.outcome().getLeft());
			if (!goesOn) {
				return Either.left(ending());
			}
		}
	}

	private @Nullable AttemptResult next(long waitMs) {
		try {
			return this.results.poll(Math.max(waitMs, 0), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return null;
		}
	}

	private Optional<PipelineData> take(AttemptResult result, PipelineData made) {
		forget(result.number());
		if (!this.context.ledger().accept(result.number())) {
			this.tools.events()
				.emit(EventCode.ANSWER_DROPPED, this.context.request().id(),
						this.service.id() + " attempt " + result.number());
			return Optional.empty();
		}
		this.context.cost().add(this.service, CostMeter.Use.USEFUL, 0);
		abandonAll(CostMeter.Use.HEDGED);
		return Optional.of(made);
	}

	private boolean onFailure(AttemptResult result, AttemptFailure failure) {
		forget(result.number());
		this.context.ledger().close(result.number(), failure.state());
		this.lastFailure = failure;
		if (failure.reason() == Reason.DEADLINE) {
			abandonAll(CostMeter.Use.ABANDONED);
			return false;
		}
		boolean again = mayRepeat(failure) && launchExtra();
		this.context.cost().add(this.service, again ? CostMeter.Use.RETRIED : CostMeter.Use.ABANDONED, 0);
		return again || !this.running.isEmpty();
	}

	private boolean mayRepeat(AttemptFailure failure) {
		return this.context.request().repeatable() || failure.state() == AttemptState.REFUSED
				|| this.context.ledger().begunCount() == 0;
	}

	private boolean launchExtra() {
		boolean allowed = this.launched < this.context.pipeline().maxAttempts() && this.tools.budget().tryAcquire();
		return allowed && launch();
	}

	private boolean launch() {
		Optional<Upstream> upstream = this.tools.routing().choose(this.context, this.service, this.tried);
		if (upstream.isEmpty()) {
			return false;
		}
		this.tried.add(upstream.get().id());
		int number = this.context.ledger().plan(this.service.id());
		UpstreamCall call = new UpstreamCall(this.context, this.service, upstream.get(), number, this.tools.pool());
		this.launched++;
		this.running.add(call);
		try {
			this.tools.executor().execute(() -> this.results.add(attempt(call)));
		}
		catch (RejectedExecutionException ex) {
			this.tools.routing().onFailure(call.upstream(), false, "");
			this.results.add(new AttemptResult(number, call.upstream(), Either
				.left(new AttemptFailure(AttemptState.ABANDONED, Reason.QUEUE_FULL, "no thread is free", false))));
		}
		return true;
	}

	private AttemptResult attempt(UpstreamCall call) {
		String request = this.context.request().id();
		this.tools.events()
			.emit(EventCode.ATTEMPT_BEGAN, request,
					this.service.id() + "#" + call.number() + " at " + call.upstream().id());
		long beganMs = Clocks.SYSTEM.monotonicMs();
		HttpCall.Builder post = HttpCall.post(this.protocol.path(this.service),
				Json.bytes(this.protocol.request(this.data, this.service)));
		Either<AttemptFailure, PipelineData> outcome = call.open(post, this.context.remainingMs())
			.flatMap((stream) -> stream.readFully().mapLeft(call::failure))
			.flatMap((reply) -> Json.read(reply.text())
				.flatMap((body) -> this.protocol.accept(this.data, body))
				.mapLeft(AttemptFailure::error));
		call.finish();
		note(call, outcome, Clocks.SYSTEM.monotonicMs() - beganMs);
		this.tools.events()
			.emit(EventCode.ATTEMPT_ENDED, request, this.service.id() + "#" + call.number() + " at "
					+ call.upstream().id() + outcome.fold((failure) -> " " + failure.message(), (made) -> " ok"));
		return new AttemptResult(call.number(), call.upstream(), outcome);
	}

	private void note(UpstreamCall call, Either<AttemptFailure, PipelineData> outcome, long millis) {
		if (outcome.isRight()) {
			this.tools.times().addCall(this.service, millis);
			this.tools.routing().onSuccess(this.service, call.upstream(), 1, millis);
			return;
		}
		if (call.cancelled() && outcome.getLeft().state() == AttemptState.ABANDONED) {
			// Another attempt was faster, or the deadline came: this one took at least so
			// long.
			this.tools.routing().onTimeout(this.service, call.upstream(), 1, millis);
			return;
		}
		if (outcome.getLeft().message().equals(UpstreamCall.LEAVING)) {
			this.tools.routing().onDraining(call.upstream().id());
		}
		this.tools.routing().onFailure(call.upstream(), outcome.getLeft().blame(), outcome.getLeft().message());
	}

	private void abandonAll(CostMeter.Use use) {
		for (UpstreamCall call : this.running) {
			this.context.ledger().close(call.number(), AttemptState.ABANDONED);
			this.context.cost().add(this.service, use, 0);
			call.cancel();
		}
		this.running.clear();
	}

	private void forget(int number) {
		this.running.removeIf((call) -> call.number() == number);
	}

	private RequestResult noUpstream() {
		return new RequestResult(Outcome.NOT_RUN, Reason.NO_UPSTREAM,
				"no upstream of " + this.service.id() + " can be used", StageRunner.COME_BACK_MS);
	}

	private RequestResult ending() {
		AttemptFailure failure = this.lastFailure;
		if (failure == null) {
			return noUpstream();
		}
		return new RequestResult(Outcome.NOT_RUN, failure.reason(), this.service.id() + ": " + failure.message(),
				StageRunner.COME_BACK_MS);
	}

}
