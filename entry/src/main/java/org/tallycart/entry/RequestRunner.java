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
 * Runs one request from its arrival to its result.
 * <p>
 * A request that may not be repeated claims its key before anything can refuse it:
 * without the claim an earlier submission may have run, and NOT_RUN could be false.
 * Thread-safe; each request runs on its own thread.
 *
 * @since 0.1
 */
final class RequestRunner {

	private static final long RETRY_AFTER_MS = 1_000;

	private final Supplier<EntryState> state;

	private final StageRunner stages;

	private final ClaimClient claims;

	private final WorkspaceLimiter limiter;

	private final EventLog events;

	private final MetricRegistry metrics;

	RequestRunner(Supplier<EntryState> state, StageRunner stages, ClaimClient claims, WorkspaceLimiter limiter,
			EventLog events, MetricRegistry metrics) {
		this.state = state;
		this.stages = stages;
		this.claims = claims;
		this.limiter = limiter;
		this.events = events;
		this.metrics = metrics;
	}

	/**
	 * Run a request up to the point where its response begins.
	 * @param request the request
	 * @return the run; the caller must call {@link Run#finish} unless a stored response
	 * is present
	 */
	Run begin(CallerRequest request) {
		long nowMs = Clocks.SYSTEM.monotonicMs();
		EntryState current = this.state.get();
		Pipeline pipeline = current.declarations().pipelines().get(request.pipeline());
		Workspace workspace = current.declarations().workspaces().get(request.workspace());
		if (pipeline == null || workspace == null) {
			String what = (pipeline != null) ? "workspace " + request.workspace() : "pipeline " + request.pipeline();
			boolean notReady = current.configVersion() == 0;
			RequestResult result = new RequestResult(Outcome.NOT_RUN, notReady ? Reason.NOT_READY : Reason.NOT_DECLARED,
					what + " is not declared in version " + current.configVersion(), notReady ? RETRY_AFTER_MS : 0);
			this.events.emit(EventCode.REQUEST_ARRIVED, request.id(), request.workspace() + " " + request.pipeline());
			return new Run(request, nowMs, result);
		}
		long deadline = (request.deadlineMs() > 0) ? request.deadlineMs() : pipeline.deadlineMs();
		Policy policy = current.policy(pipeline);
		RequestFacts facts = new RequestFacts(request.workspace(), request.pipeline(), request.label(),
				request.repeatable(), deadline, request.maxTokens());
		long priority = policy.priority(facts);
		this.events.emit(EventCode.REQUEST_ARRIVED, request.id(), RecordedDecision.of(facts, priority).encode());
		RequestContext context = new RequestContext(request, current, pipeline, workspace, policy, priority, nowMs,
				nowMs + deadline, AttemptTracker.create(request.id(), request.repeatable()), new CostMeter());
		Run run = new Run(context);
		run.prepare();
		return run;
	}

	/** Run of one request. Not thread-safe: confined to the request's thread. */
	final class Run {

		private final CallerRequest request;

		private final long arrivedMs;

		private final Optional<RequestContext> context;

		private final String submission;

		private boolean claimed;

		private boolean permitHeld;

		private Optional<byte[]> storedResponse = Optional.empty();

		private Optional<RequestResult> refusal;

		private PipelineData data = PipelineData.initial("", 0, 0);

		private long firstTokenMs = -1;

		private Run(CallerRequest request, long arrivedMs, RequestResult refusal) {
			this.request = request;
			this.submission = submissionId(request);
			this.arrivedMs = arrivedMs;
			this.context = Optional.empty();
			this.refusal = Optional.of(correctOutcome(refusal));
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

		private RequestResult correctOutcome(RequestResult result) {
			// Without a claim, an earlier submission of the key may have run.
			boolean uncertain = !this.request.repeatable() && !this.request.firstSubmission() && !this.claimed;
			Outcome outcome = (uncertain && result.outcome() == Outcome.NOT_RUN) ? Outcome.UNKNOWN : result.outcome();
			return new RequestResult(outcome, result.reason(), result.detail(), result.retryAfterMs());
		}

		private void prepare() {
			RequestContext requestContext = this.context.orElseThrow();
			if (!this.request.repeatable()) {
				claim(requestContext);
			}
			if (this.refusal.isEmpty() && this.storedResponse.isEmpty()) {
				this.refusal = admit(requestContext);
			}
			if (this.refusal.isEmpty() && this.storedResponse.isEmpty()) {
				Either<RequestResult, PipelineData> outcome = RequestRunner.this.stages.runUnaryStages(requestContext);
				outcome.peek((data) -> this.data = data);
				outcome.peekLeft((result) -> this.refusal = Optional.of(result));
			}
		}

		private void claim(RequestContext requestContext) {
			ClaimDecision decision = RequestRunner.this.claims.claim(this.request.key().orElseThrow(), this.submission,
					this.request.firstSubmission(), requestContext.dueMs());
			this.claimed = decision.kind() == ClaimDecision.Kind.GRANTED;
			this.storedResponse = Optional.ofNullable(decision.storedResponse());
			this.refusal = Optional.ofNullable(decision.refusal());
		}

		private Optional<RequestResult> admit(RequestContext requestContext) {
			if (!requestContext.policy().admit(requestContext.facts())) {
				return Optional.of(RequestResult.of(Outcome.NOT_RUN, Reason.POLICY_REFUSED,
						"policy " + requestContext.pipeline().policy()));
			}
			this.permitHeld = RequestRunner.this.limiter.tryAcquire(requestContext.workspace(), requestContext.state());
			if (!this.permitHeld) {
				return Optional.of(new RequestResult(Outcome.NOT_RUN, Reason.WORKSPACE_LIMIT,
						"workspace " + requestContext.workspace().id() + " is over its limit",
						RequestRunner.this.limiter.retryAfterMs()));
			}
			Either<RequestResult, RequestContext> decision = RequestRunner.this.stages.admit(requestContext);
			return decision.isLeft() ? Optional.of(decision.getLeft()) : Optional.empty();
		}

		/**
		 * Return whether the response is generated as a stream of text.
		 * @return true if the last stage generates and the request was neither refused
		 * nor answered
		 */
		boolean willStream() {
			return this.refusal.isEmpty() && this.storedResponse.isEmpty()
					&& this.context.filter(RequestRunner.this.stages::endsWithGeneration).isPresent();
		}

		/**
		 * Return the response to an earlier submission of the same key.
		 * @return the response as JSON, or empty
		 */
		Optional<byte[]> storedResponse() {
			return this.storedResponse;
		}

		/**
		 * Run the remaining stage and end the request.
		 * @param sink receives generated text
		 * @return the response
		 */
		CallerResponse finish(TextSink sink) {
			Either<RequestResult, String> output = this.refusal.<Either<RequestResult, String>>map(Either::left)
				.orElseGet(() -> willStream() ? generate(sink) : Either.right(this.data.output()));
			RequestResult result = end(output.isRight() ? RequestResult.complete() : output.getLeft());
			this.context.filter((requestContext) -> this.permitHeld)
				.ifPresent((requestContext) -> RequestRunner.this.limiter.release(requestContext.workspace()));
			boolean complete = result.outcome() == Outcome.COMPLETE;
			Map<String, Double> cost = this.context.map((requestContext) -> requestContext.cost().totals(complete))
				.orElse(Map.of());
			CallerResponse response = new CallerResponse(this.request.id(), result, complete ? output.get() : "",
					this.context.map((requestContext) -> requestContext.state().configVersion()).orElse(0L),
					this.firstTokenMs, Clocks.SYSTEM.monotonicMs() - this.arrivedMs, cost);
			closeClaim(response);
			record(response);
			return response;
		}

		private Either<RequestResult, String> generate(TextSink sink) {
			RequestContext requestContext = this.context.orElseThrow();
			return RequestRunner.this.stages.generate(requestContext, this.data, sink).map((generated) -> {
				this.firstTokenMs = generated.firstTokenMs();
				return generated.text();
			});
		}

		private RequestResult end(RequestResult proposed) {
			return this.context.map((requestContext) -> requestContext.attempts().end(proposed)).orElse(proposed);
		}

		private void closeClaim(CallerResponse response) {
			if (!this.claimed) {
				return;
			}
			if (response.result().outcome() == Outcome.NOT_RUN) {
				RequestRunner.this.claims.release(this.request.key().orElseThrow(), this.submission);
			}
			else {
				RequestRunner.this.claims.finish(this.request.key().orElseThrow(), this.submission,
						response.toJson(true));
			}
		}

		private void record(CallerResponse response) {
			RequestResult result = response.result();
			RequestRunner.this.events.emit(EventCode.REQUEST_ENDED, this.request.id(),
					result.outcome() + " " + result.reason() + " " + result.detail());
			MetricRegistry registry = RequestRunner.this.metrics;
			registry.counter("requests." + result.outcome().name().toLowerCase(java.util.Locale.ROOT)).inc();
			registry.timer("request.time").update(response.totalMs(), java.util.concurrent.TimeUnit.MILLISECONDS);
			response.cost().forEach((name, cost) -> registry.counter("cost." + name).inc(Math.round(cost)));
		}

	}

}
