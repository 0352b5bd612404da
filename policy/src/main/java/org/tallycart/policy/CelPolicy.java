package org.tallycart.policy;

import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import dev.cel.runtime.CelEvaluationException;
import dev.cel.runtime.CelRuntime;
import dev.cel.runtime.CelVariableResolver;
import org.tallycart.core.policy.BuiltInPolicy;
import org.tallycart.core.policy.LoadFacts;
import org.tallycart.core.policy.Policy;
import org.tallycart.core.policy.RequestFacts;
import org.tallycart.core.policy.UpstreamFacts;

/**
 * Policy whose rules are compiled CEL programs.
 * <p>
 * Invariant: the failure of a rule never fails a request; the built-in rule is used
 * instead. Immutable and thread-safe.
 *
 * @since 0.1
 */
final class CelPolicy implements Policy {

	private final String id;

	private final Map<RuleKind, CelRuntime.Program> programs;

	private final RuleFailureListener listener;

	CelPolicy(String id, Map<RuleKind, CelRuntime.Program> programs, RuleFailureListener listener) {
		this.id = id;
		this.programs = programs;
		this.listener = listener;
	}

	@Override
	public boolean admit(RequestFacts request) {
		return evaluate(RuleKind.ADMIT, (name) -> resolve(name, request), Boolean.class,
				() -> BuiltInPolicy.INSTANCE.admit(request));
	}

	@Override
	public long priority(RequestFacts request) {
		return evaluate(RuleKind.PRIORITY, (name) -> resolve(name, request), Long.class,
				() -> BuiltInPolicy.INSTANCE.priority(request));
	}

	@Override
	public double place(RequestFacts request, UpstreamFacts upstream) {
		return evaluate(RuleKind.PLACE, (name) -> resolve(name, request).or(() -> resolve(name, upstream)),
				Double.class, () -> BuiltInPolicy.INSTANCE.place(request, upstream));
	}

	@Override
	public boolean shed(RequestFacts request, LoadFacts load) {
		return evaluate(RuleKind.SHED, (name) -> resolve(name, request).or(() -> resolve(name, load)), Boolean.class,
				() -> BuiltInPolicy.INSTANCE.shed(request, load));
	}

	private static Optional<Object> resolve(String name, RequestFacts request) {
		return switch (name) {
			case "request.workspace" -> Optional.of(request.workspace());
			case "request.pipeline" -> Optional.of(request.pipeline());
			case "request.label" -> Optional.of(request.label());
			case "request.repeatable" -> Optional.of(request.repeatable());
			case "request.remaining_ms" -> Optional.of(request.remainingMs());
			case "request.max_tokens" -> Optional.of(request.maxTokens());
			default -> Optional.empty();
		};
	}

	private static Optional<Object> resolve(String name, UpstreamFacts upstream) {
		return switch (name) {
			case "upstream.id" -> Optional.of(upstream.id());
			case "upstream.domain" -> Optional.of(upstream.domain());
			case "upstream.same_domain" -> Optional.of(upstream.sameDomain());
			case "upstream.in_flight" -> Optional.of((long) upstream.inFlight());
			case "upstream.reported" -> Optional.of((long) upstream.reported());
			case "upstream.report_age_ms" -> Optional.of(upstream.reportAgeMs());
			case "upstream.slots" -> Optional.of((long) upstream.slots());
			default -> Optional.empty();
		};
	}

	private static Optional<Object> resolve(String name, LoadFacts load) {
		return switch (name) {
			case "load.stage" -> Optional.of(load.stage());
			case "load.waiting" -> Optional.of((long) load.waiting());
			case "load.in_flight" -> Optional.of((long) load.inFlight());
			case "load.limit" -> Optional.of((long) load.limit());
			case "load.wait_ms" -> Optional.of(load.waitMs());
			default -> Optional.empty();
		};
	}

	private <T> T evaluate(RuleKind kind, CelVariableResolver resolver, Class<T> type, Supplier<T> builtIn) {
		CelRuntime.Program program = this.programs.get(kind);
		if (program == null) {
			return builtIn.get();
		}
		try {
			return type.cast(program.eval(resolver));
		}
		catch (CelEvaluationException | RuntimeException ex) {
			this.listener.onRuleFailed(this.id, kind.key(), String.valueOf(ex.getMessage()));
			return builtIn.get();
		}
	}

}
