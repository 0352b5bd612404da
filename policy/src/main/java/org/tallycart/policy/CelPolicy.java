package org.tallycart.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

import dev.cel.runtime.CelEvaluationException;
import dev.cel.runtime.CelRuntime;
import org.tallycart.core.policy.BuiltInPolicy;
import org.tallycart.core.policy.LoadFacts;
import org.tallycart.core.policy.Policy;
import org.tallycart.core.policy.RequestFacts;
import org.tallycart.core.policy.UpstreamFacts;

/**
 * A compiled policy.
 * <p>
 * Invariant: no rule's failure reaches a request; the built-in rule decides instead.
 * Immutable and thread-safe.
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
		return evaluate(RuleKind.ADMIT, facts(request), Boolean.class, () -> BuiltInPolicy.INSTANCE.admit(request));
	}

	@Override
	public long priority(RequestFacts request) {
		return evaluate(RuleKind.PRIORITY, facts(request), Long.class, () -> BuiltInPolicy.INSTANCE.priority(request));
	}

	@Override
	public double place(RequestFacts request, UpstreamFacts upstream) {
		if (!this.programs.containsKey(RuleKind.PLACE)) {
			return BuiltInPolicy.INSTANCE.place(request, upstream);
		}
		Map<String, Object> facts = facts(request);
		facts.put("upstream.id", upstream.id());
		facts.put("upstream.domain", upstream.domain());
		facts.put("upstream.same_domain", upstream.sameDomain());
		facts.put("upstream.in_flight", (long) upstream.inFlight());
		facts.put("upstream.reported", (long) upstream.reported());
		facts.put("upstream.report_age_ms", upstream.reportAgeMs());
		facts.put("upstream.slots", (long) upstream.slots());
		return evaluate(RuleKind.PLACE, facts, Double.class, () -> BuiltInPolicy.INSTANCE.place(request, upstream));
	}

	@Override
	public boolean shed(RequestFacts request, LoadFacts load) {
		Map<String, Object> facts = facts(request);
		facts.put("load.stage", load.stage());
		facts.put("load.waiting", (long) load.waiting());
		facts.put("load.in_flight", (long) load.inFlight());
		facts.put("load.limit", (long) load.limit());
		facts.put("load.wait_ms", load.waitMs());
		return evaluate(RuleKind.SHED, facts, Boolean.class, () -> BuiltInPolicy.INSTANCE.shed(request, load));
	}

	private static Map<String, Object> facts(RequestFacts request) {
		Map<String, Object> facts = new HashMap<>();
		facts.put("request.workspace", request.workspace());
		facts.put("request.pipeline", request.pipeline());
		facts.put("request.label", request.label());
		facts.put("request.repeatable", request.repeatable());
		facts.put("request.remaining_ms", request.remainingMs());
		facts.put("request.max_tokens", request.maxTokens());
		return facts;
	}

	private <T> T evaluate(RuleKind kind, Map<String, Object> facts, Class<T> type, Supplier<T> builtIn) {
		CelRuntime.Program program = this.programs.get(kind);
		if (program == null) {
			return builtIn.get();
		}
		try {
			return type.cast(program.eval(facts));
		}
		catch (CelEvaluationException | RuntimeException ex) {
			this.listener.onRuleFailed(this.id, kind.key(), String.valueOf(ex.getMessage()));
			return builtIn.get();
		}
	}

}
