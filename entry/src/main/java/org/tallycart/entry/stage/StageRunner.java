package org.tallycart.entry.stage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.tallycart.core.declaration.Service;
import org.tallycart.core.declaration.StageKind;
import org.tallycart.core.outcome.InvariantViolation;
import org.tallycart.core.outcome.Outcome;
import org.tallycart.core.outcome.Reason;
import org.tallycart.core.outcome.RequestResult;
import org.tallycart.core.policy.LoadFacts;
import org.tallycart.core.routing.DeadlineSplit;
import org.tallycart.core.routing.StageQueue;

/**
 * Runs the stages of a pipeline in order.
 * <p>
 * Before each stage, compares the time left with the expected time of the remaining
 * stages; a request that cannot finish in time ends before it causes further cost.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class StageRunner {

	static final long RETRY_AFTER_MS = 1_000;

	private static final long MIN_RETRY_AFTER_MS = 100;

	private final StageContext shared;

	private final double overcommit;

	private final Map<String, StageConcurrencyLimiter> limiters = new ConcurrentHashMap<>();

	private StageRunner(StageContext shared, double overcommit) {
		this.shared = shared;
		this.overcommit = overcommit;
	}

	/**
	 * Create a runner.
	 * @param shared dependencies shared by all stage calls
	 * @param overcommit calls in flight per slot of a service, over all VMs
	 * @return the runner
	 */
	public static StageRunner create(StageContext shared, double overcommit) {
		return new StageRunner(shared, overcommit);
	}

	/**
	 * Decide, before any stage runs, whether the request can finish in time.
	 * @param context the request
	 * @return the context, or the result if the request is refused
	 */
	public Either<RequestResult, RequestContext> admit(RequestContext context) {
		long expected = 0;
		for (Service service : services(context)) {
			long expectedMs = this.shared.latencies().expectedMs(service, context.request().maxTokens());
			LoadFacts load = limiter(service).load(context.request().workspace(), context.priority(), expectedMs,
					maxInFlight(context, service));
			expected += expectedMs + load.waitMs();
			if (context.policy().shed(context.facts(), load)) {
				return Either.left(new RequestResult(Outcome.NOT_RUN, Reason.SHED, "shed at " + service.id(),
						Math.max(load.waitMs(), MIN_RETRY_AFTER_MS)));
			}
		}
		if (expected > context.remainingMs()) {
			return Either.left(new RequestResult(Outcome.NOT_RUN, Reason.DEADLINE,
					"the stages can be expected to take " + expected + " ms", RETRY_AFTER_MS));
		}
		return Either.right(context);
	}

	/**
	 * Run all stages except a generation.
	 * @param context the request
	 * @return the results of the stages, or the result of the request if a stage failed
	 */
	public Either<RequestResult, PipelineData> runUnaryStages(RequestContext context) {
		Either<RequestResult, PipelineData> data = Either.right(PipelineData.initial(context.request().input(),
				context.request().maxTokens(), context.pipeline().topDocuments()));
		List<Service> services = services(context);
		for (int i = 0; i < services.size() && data.isRight(); i++) {
			Service service = services.get(i);
			if (service.kind() != StageKind.GENERATE) {
				PipelineData input = data.get();
				data = runLimited(context, services.subList(i, services.size()),
						() -> new UnaryStage(this.shared, context, service, input).run());
			}
		}
		return data;
	}

	/**
	 * Return whether the last stage of the pipeline is a generation.
	 * @param context the request
	 * @return true if it does
	 */
	public boolean endsWithGeneration(RequestContext context) {
		List<Service> services = services(context);
		return services.get(services.size() - 1).kind() == StageKind.GENERATE;
	}

	/**
	 * Run the last stage, a generation.
	 * @param context the request
	 * @param data the results of the earlier stages
	 * @param sink receives the text
	 * @return the text, or the result of the request if the generation failed
	 */
	public Either<RequestResult, Generated> generate(RequestContext context, PipelineData data, TextSink sink) {
		List<Service> services = services(context);
		Service service = services.get(services.size() - 1);
		GenerationStage stage = new GenerationStage(this.shared, context, service, data, sink);
		return runLimited(context, List.of(service), stage::run)
			.map((generated) -> new Generated(generated.output(), stage.firstTokenMs()));
	}

	private Either<RequestResult, PipelineData> runLimited(RequestContext context, List<Service> remaining,
			Supplier<Either<RequestResult, PipelineData>> call) {
		Service service = remaining.get(0);
		List<Long> expected = new ArrayList<>();
		remaining
			.forEach((next) -> expected.add(this.shared.latencies().expectedMs(next, context.request().maxTokens())));
		if (!DeadlineSplit.fits(context.remainingMs(), expected)) {
			return Either.left(deadlineUnreachable(service));
		}
		long expectedTotalMs = expected.stream().mapToLong(Long::longValue).sum();
		StageQueue.Work<StageConcurrencyLimiter.Waiter> work = new StageQueue.Work<>(
				new StageConcurrencyLimiter.Waiter(), context.request().workspace(), context.workspace().weight(),
				context.priority(), context.dueMs(), Math.max(expected.get(0), 1));
		Either<Reason, StageConcurrencyLimiter.Permit> permit = limiter(service).acquire(work,
				maxInFlight(context, service), context.remainingMs() - expectedTotalMs);
		if (permit.isLeft()) {
			return Either.left((permit.getLeft() == Reason.DEADLINE) ? deadlineUnreachable(service) : new RequestResult(
					Outcome.NOT_RUN, permit.getLeft(), "the queue of " + service.id() + " is full", RETRY_AFTER_MS));
		}
		try (StageConcurrencyLimiter.Permit held = permit.get()) {
			return call.get();
		}
	}

	private static RequestResult deadlineUnreachable(Service service) {
		return new RequestResult(Outcome.NOT_RUN, Reason.DEADLINE, "too little time is left at " + service.id(),
				RETRY_AFTER_MS);
	}

	private StageConcurrencyLimiter limiter(Service service) {
		return this.limiters.computeIfAbsent(service.id(), StageConcurrencyLimiter::new);
	}

	private int maxInFlight(RequestContext context, Service service) {
		return this.shared.router().maxInFlight(service, context.state().activeVms(), this.overcommit);
	}

	private static List<Service> services(RequestContext context) {
		return context.pipeline()
			.stages()
			.stream()
			.map((id) -> InvariantViolation.requirePresent(context.state().declarations().services().get(id),
					"a pipeline names a service that is not declared: " + id))
			.toList();
	}

	/**
	 * Result of a generation.
	 *
	 * @param text the text
	 * @param firstTokenMs time from the arrival of the request to its first token, in
	 * milliseconds; -1 if there was none
	 */
	public record Generated(String text, long firstTokenMs) {
	}

}
