package org.tallycart.entry;

import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.uuid.Generators;
import io.vavr.control.Either;
import org.tallycart.core.claim.SubmissionId;
import org.tallycart.core.declaration.Pipeline;
import org.tallycart.core.declaration.Workspace;
import org.tallycart.core.outcome.AttemptTracker;
import org.tallycart.core.outcome.Outcome;
import org.tallycart.core.outcome.Reason;
import org.tallycart.core.outcome.RequestResult;
import org.tallycart.core.policy.Policy;
import org.tallycart.core.policy.RecordedDecision;
import org.tallycart.core.policy.RequestFacts;
import org.tallycart.entry.caller.CallerRequest;
import org.tallycart.entry.caller.CallerResponse;
import org.tallycart.entry.claim.ClaimClient;
import org.tallycart.entry.claim.ClaimDecision;
import org.tallycart.entry.stage.CostMeter;
import org.tallycart.entry.stage.PipelineData;
import org.tallycart.entry.stage.RequestContext;
import org.tallycart.entry.stage.StageRunner;
import org.tallycart.entry.stage.TextSink;
import org.tallycart.entry.state.EntryState;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.event.EventLog;
import org.tallycart.runtime.process.Clocks;

/**
 * Takes one request from its arrival to its ending.
 * <p>
 * A request that may not be repeated claims its key first, before anything can refuse it:
 * only then is it known whether an earlier submission ran, and NOT_RUN can be told
 * truthfully. Thread-safe; each request runs on its own thread.
 *
 * @since 0.1
 */
final class RequestRunner {

	private static final long COME_BACK_MS = 1_000;

	private final Supplier<EntryState> state;

	private final StageRunner stages;

	private final ClaimClient claims;

	private final WorkspaceLimiter limits;

	private final EventLog events;

	private final MetricRegistry metrics;

	RequestRunner(Supplier<EntryState> state, StageRunner stages, ClaimClient claims, WorkspaceLimiter limits,
			EventLog events, MetricRegistry metrics) {
		this.state = state;
		this.stages = stages;
		this.claims = claims;
		this.limits = limits;
		this.events = events;
		this.metrics = metrics;
	}

	/**
	 * Run a request up to the point where its answer begins.
	 * @param request the request
	 * @return the run, which {@link Run#finish} must end
	 */
	Run begin(CallerRequest request) {
		long nowMs = Clocks.SYSTEM.monotonicMs();
		EntryState known = this.state.get();
		Pipeline pipeline = known.declarations().pipelines().get(request.pipeline());
		Workspace workspace = known.declarations().workspaces().get(request.workspace());
		if (pipeline == null || workspace == null) {
			String what = (pipeline != null) ? "workspace " + request.workspace() : "pipeline " + request.pipeline();
			boolean waits = known.configVersion() == 0;
			RequestResult ending = new RequestResult(Outcome.NOT_RUN, waits ? Reason.NOT_READY : Reason.NOT_DECLARED,
					what + " is not declared in version " + known.configVersion(), waits ? COME_BACK_MS : 0);
			this.events.emit(EventCode.REQUEST_ARRIVED, request.id(), request.workspace() + " " + request.pipeline());
			return new Run(request, nowMs, ending);
		}
		long deadline = (request.deadlineMs() > 0) ? request.deadlineMs() : pipeline.deadlineMs();
		Policy policy = known.policy(pipeline);
		RequestFacts facts = new RequestFacts(request.workspace(), request.pipeline(), request.label(),
				request.repeatable(), deadline, request.maxTokens());
		long priority = policy.priority(facts);
		this.events.emit(EventCode.REQUEST_ARRIVED, request.id(), RecordedDecision.of(facts, priority).encode());
		RequestContext context = new RequestContext(request, known, pipeline, workspace, policy, priority, nowMs,
				nowMs + deadline, AttemptTracker.create(request.id(), request.repeatable()), new CostMeter());
		Run run = new Run(context);
		run.prepare();
		return run;
	}

	/** One request's run. Not thread-safe: confined to the request's thread. */
	final class Run {

		private final CallerRequest request;

		private final long arrivedMs;

		private final Optional<RequestContext> context;

		private final String submission;

		private boolean claimed;

		private boolean entered;

		private Optional<byte[]> stored = Optional.empty();

		private Optional<RequestResult> refusal;

		private PipelineData data = PipelineData.begin("", 0, 0);

		private long firstTokenMs = -1;

		private Run(CallerRequest request, long arrivedMs, RequestResult refusal) {
			this.request = request;
			this.submission = submissionId(request);
			this.arrivedMs = arrivedMs;
			this.context = Optional.empty();
			this.refusal = Optional.of(unlessRunBefore(refusal));
		}

		private Run(RequestContext context) {
			this.request = context.request();
			this.submission = submissionId(context.request());
			this.arrivedMs = context.arrivedMs();
			this.context = Optional.of(context);
			this.refusal = Optional.empty();
		}

		private static String submissionId(CallerRequest request) {
			return new SubmissionId(request.id(), Generators.timeBasedEpochGenerator().generate().toString()).text();
		}

		private RequestResult unlessRunBefore(RequestResult ending) {
			// Without a claim it is not known whether an earlier submission of the key
			// ran.
			boolean uncertain = !this.request.repeatable() && !this.request.firstSubmission() && !this.claimed;
			Outcome outcome = (uncertain && ending.outcome() == Outcome.NOT_RUN) ? Outcome.UNKNOWN : ending.outcome();
			return new RequestResult(outcome, ending.reason(), ending.detail(), ending.retryAfterMs());
		}

		private void prepare() {
			RequestContext own = this.context.orElseThrow();
			if (!this.request.repeatable()) {
				claim(own);
			}
			if (this.refusal.isEmpty() && this.stored.isEmpty()) {
				this.refusal = admit(own);
			}
			if (this.refusal.isEmpty() && this.stored.isEmpty()) {
				Either<RequestResult, PipelineData> made = RequestRunner.this.stages.runUnaryStages(own);
				made.peek((result) -> this.data = result);
				made.peekLeft((ending) -> this.refusal = Optional.of(ending));
			}
		}

		private void claim(RequestContext own) {
			ClaimDecision decision = RequestRunner.this.claims.claim(this.request.key().orElseThrow(), this.submission,
					this.request.firstSubmission(), own.dueMs());
			this.claimed = decision.kind() == ClaimDecision.Kind.GRANTED;
			this.stored = Optional.ofNullable(decision.storedAnswer());
			this.refusal = Optional.ofNullable(decision.refusal());
		}

		private Optional<RequestResult> admit(RequestContext own) {
			if (!own.policy().admit(own.facts())) {
				return Optional
					.of(RequestResult.of(Outcome.NOT_RUN, Reason.POLICY_REFUSED, "policy " + own.pipeline().policy()));
			}
			this.entered = RequestRunner.this.limits.tryAcquire(own.workspace(), own.state());
			if (!this.entered) {
				return Optional.of(new RequestResult(Outcome.NOT_RUN, Reason.WORKSPACE_LIMIT,
						"workspace " + own.workspace().id() + " is over its limit",
						RequestRunner.this.limits.retryAfterMs()));
			}
			Either<RequestResult, RequestContext> admitted = RequestRunner.this.stages.admit(own);
			return admitted.isLeft() ? Optional.of(admitted.getLeft()) : Optional.empty();
		}

		/**
		 * Return whether the answer will come piece by piece.
		 * @return true if the last stage generates and nothing has refused the request
		 */
		boolean willStream() {
			return this.refusal.isEmpty() && this.stored.isEmpty()
					&& this.context.filter(RequestRunner.this.stages::endsWithGeneration).isPresent();
		}

		/**
		 * Return the answer of an earlier submission of the same key.
		 * @return the answer, or empty
		 */
		Optional<byte[]> storedAnswer() {
			return this.stored;
		}

		/**
		 * Run what is left and end the request.
		 * @param sink takes generated text
		 * @return the answer
		 */
		CallerResponse finish(TextSink sink) {
			Either<RequestResult, String> output = this.refusal.<Either<RequestResult, String>>map(Either::left)
				.orElseGet(() -> willStream() ? generate(sink) : Either.right(this.data.output()));
			RequestResult ending = end(output.isRight() ? RequestResult.complete() : output.getLeft());
			this.context.filter((own) -> this.entered)
				.ifPresent((own) -> RequestRunner.this.limits.release(own.workspace()));
			boolean complete = ending.outcome() == Outcome.COMPLETE;
			Map<String, Double> cost = this.context.map((own) -> own.cost().totals(complete)).orElse(Map.of());
			CallerResponse answer = new CallerResponse(this.request.id(), ending, complete ? output.get() : "",
					this.context.map((own) -> own.state().configVersion()).orElse(0L), this.firstTokenMs,
					Clocks.SYSTEM.monotonicMs() - this.arrivedMs, cost);
			settleClaim(answer);
			record(answer);
			return answer;
		}

		private Either<RequestResult, String> generate(TextSink sink) {
			RequestContext own = this.context.orElseThrow();
			return RequestRunner.this.stages.generate(own, this.data, sink).map((made) -> {
				this.firstTokenMs = made.firstTokenMs();
				return made.text();
			});
		}

		private RequestResult end(RequestResult wanted) {
			return this.context.map((own) -> own.ledger().end(wanted)).orElse(wanted);
		}

		private void settleClaim(CallerResponse answer) {
			if (!this.claimed) {
				return;
			}
			if (answer.ending().outcome() == Outcome.NOT_RUN) {
				RequestRunner.this.claims.release(this.request.key().orElseThrow(), this.submission);
			}
			else {
				RequestRunner.this.claims.finish(this.request.key().orElseThrow(), this.submission,
						answer.toJson(true));
			}
		}

		private void record(CallerResponse answer) {
			RequestResult ending = answer.ending();
			RequestRunner.this.events.emit(EventCode.REQUEST_ENDED, this.request.id(),
					ending.outcome() + " " + ending.reason() + " " + ending.detail());
			MetricRegistry all = RequestRunner.this.metrics;
			all.counter("requests." + ending.outcome().name().toLowerCase(java.util.Locale.ROOT)).inc();
			all.timer("request.time").update(answer.totalMs(), java.util.concurrent.TimeUnit.MILLISECONDS);
			answer.cost().forEach((name, cost) -> all.counter("cost." + name).inc(Math.round(cost)));
		}

	}

}
