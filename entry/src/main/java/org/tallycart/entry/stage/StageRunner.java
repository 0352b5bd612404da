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
 * Runs the stages of a pipeline, one after the other.
 * <p>
 * Before each stage the time left is held against what the stages still to come can be
 * expected to take: a request that cannot end in time stops before it costs more.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class StageRunner {

	static final long COME_BACK_MS = 1_000;

	private static final long SHORTEST_COME_BACK_MS = 100;

	private final StageContext tools;

	private final double overcommit;

	private final Map<String, StageConcurrencyLimiter> gates = new ConcurrentHashMap<>();

	private StageRunner(StageContext tools, double overcommit) {
		this.tools = tools;
		this.overcommit = overcommit;
	}

	/**
	 * Create a runner.
	 * @param tools what stage calls share
	 * @param overcommit calls in flight for each slot of a service, over all VMs
	 * @return the runner
	 */
	public static StageRunner create(StageContext tools, double overcommit) {
		return new StageRunner(tools, overcommit);
	}

	/**
	 * Decide, before any stage runs, whether the request can end in time.
	 * @param context the request
	 * @return how it ends if it cannot; otherwise right
	 */
	public Either<RequestResult, RequestContext> admit(RequestContext context) {
		long expected = 0;
		for (Service service : services(context)) {
			long own = this.tools.times().expectedMs(service, context.request().maxTokens());
			LoadFacts load = gate(service).load(context.request().workspace(), context.priority(), own,
					limit(context, service));
			expected += own + load.waitMs();
			if (context.policy().shed(context.facts(), load)) {
				return Either.left(new RequestResult(Outcome.NOT_RUN, Reason.SHED, "shed at " + service.id(),
						Math.max(load.waitMs(), SHORTEST_COME_BACK_MS)));
			}
		}
		if (expected > context.remainingMs()) {
			return Either.left(new RequestResult(Outcome.NOT_RUN, Reason.DEADLINE,
					"the stages can be expected to take " + expected + " ms", COME_BACK_MS));
		}
		return Either.right(context);
	}

	/**
	 * Run every stage but a last one that generates.
	 * @param context the request
	 * @return what the stages made, or how the request ends
	 */
	public Either<RequestResult, PipelineData> runUnaryStages(RequestContext context) {
		Either<RequestResult, PipelineData> data = Either.right(PipelineData.begin(context.request().input(),
				context.request().maxTokens(), context.pipeline().topDocuments()));
		List<Service> services = services(context);
		for (int i = 0; i < services.size() && data.isRight(); i++) {
			Service service = services.get(i);
			if (service.kind() != StageKind.GENERATE) {
				PipelineData before = data.get();
				data = gated(context, services.subList(i, services.size()),
						() -> new UnaryStage(this.tools, context, service, before).run());
			}
		}
		return data;
	}

	/**
	 * Return whether the pipeline's last stage generates.
	 * @param context the request
	 * @return true if it does
	 */
	public boolean endsWithGeneration(RequestContext context) {
		List<Service> services = services(context);
		return services.get(services.size() - 1).kind() == StageKind.GENERATE;
	}

	/**
	 * Run the last stage, which generates.
	 * @param context the request
	 * @param data what the stages before it made
	 * @param sink takes the text
	 * @return the text and when it began, or how the request ends
	 */
	public Either<RequestResult, Generated> generate(RequestContext context, PipelineData data, TextSink sink) {
		List<Service> services = services(context);
		Service service = services.get(services.size() - 1);
		GenerationStage stage = new GenerationStage(this.tools, context, service, data, sink);
		return gated(context, List.of(service), stage::run)
			.map((made) -> new Generated(made.output(), stage.firstTokenMs()));
	}

	private Either<RequestResult, PipelineData> gated(RequestContext context, List<Service> rest,
			Supplier<Either<RequestResult, PipelineData>> call) {
		Service service = rest.get(0);
		List<Long> expected = new ArrayList<>();
		rest.forEach((next) -> expected.add(this.tools.times().expectedMs(next, context.request().maxTokens())));
		if (!DeadlineSplit.fits(context.remainingMs(), expected)) {
			return Either.left(hopeless(service));
		}
		long needed = expected.stream().mapToLong(Long::longValue).sum();
		StageQueue.Work<StageConcurrencyLimiter.Waiter> work = new StageQueue.Work<>(
				new StageConcurrencyLimiter.Waiter(), context.request().workspace(), context.workspace().weight(),
				context.priority(), context.dueMs(), Math.max(expected.get(0), 1));
		Either<Reason, StageConcurrencyLimiter.Permit> permit = gate(service).acquire(work, limit(context, service),
				context.remainingMs() - needed);
		if (permit.isLeft()) {
			return Either
				.left((permit.getLeft() == Reason.DEADLINE) ? hopeless(service) : new RequestResult(Outcome.NOT_RUN,
						permit.getLeft(), "the queue of " + service.id() + " is full", COME_BACK_MS));
		}
		try (StageConcurrencyLimiter.Permit held = permit.get()) {
			return call.get();
		}
	}

	private static RequestResult hopeless(Service service) {
		return new RequestResult(Outcome.NOT_RUN, Reason.DEADLINE, "too little time is left at " + service.id(),
				COME_BACK_MS);
	}

	private StageConcurrencyLimiter gate(Service service) {
		return this.gates.computeIfAbsent(service.id(), StageConcurrencyLimiter::new);
	}

	private int limit(RequestContext context, Service service) {
		return this.tools.routing().maxInFlight(service, context.state().activeVms(), this.overcommit);
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
	 * A generated text.
	 *
	 * @param text the text
	 * @param firstTokenMs how long after its arrival the request had its first token
	 */
	public record Generated(String text, long firstTokenMs) {
	}

}
