package org.tallycart.policy;

import java.util.List;
import java.util.stream.Stream;

import dev.cel.common.types.CelType;
import dev.cel.common.types.SimpleType;

/**
 * Rules of a policy, with the variables available to each and its result type.
 * <p>
 * Immutable and thread-safe.
 *
 * @since 0.1
 */
enum RuleKind {

	ADMIT("admit", SimpleType.BOOL, List.of()), PRIORITY("priority", SimpleType.INT, List.of()),
	PLACE("place", SimpleType.DOUBLE, Variables.UPSTREAM), SHED("shed", SimpleType.BOOL, Variables.LOAD);

	private final String key;

	private final CelType resultType;

	private final List<Variable> additionalVariables;

	RuleKind(String key, CelType resultType, List<Variable> additionalVariables) {
		this.key = key;
		this.resultType = resultType;
		this.additionalVariables = additionalVariables;
	}

	String key() {
		return this.key;
	}

	CelType resultType() {
		return this.resultType;
	}

	List<Variable> variables() {
		return Stream.concat(Variables.REQUEST.stream(), this.additionalVariables.stream()).toList();
	}

	/**
	 * Variable that is available to rules.
	 *
	 * @param name the qualified name
	 * @param type the CEL type
	 */
	record Variable(String name, CelType type) {
	}

	/** Variables of a request, an upstream and the load of a stage. */
	static final class Variables {

		static final List<Variable> REQUEST = List.of(new Variable("request.workspace", SimpleType.STRING),
				new Variable("request.pipeline", SimpleType.STRING), new Variable("request.label", SimpleType.STRING),
				new Variable("request.repeatable", SimpleType.BOOL),
				new Variable("request.remaining_ms", SimpleType.INT),
				new Variable("request.max_tokens", SimpleType.INT));

		static final List<Variable> UPSTREAM = List.of(new Variable("upstream.id", SimpleType.STRING),
				new Variable("upstream.domain", SimpleType.STRING),
				new Variable("upstream.same_domain", SimpleType.BOOL),
				new Variable("upstream.in_flight", SimpleType.INT), new Variable("upstream.reported", SimpleType.INT),
				new Variable("upstream.report_age_ms", SimpleType.INT), new Variable("upstream.slots", SimpleType.INT));

		static final List<Variable> LOAD = List.of(new Variable("load.stage", SimpleType.STRING),
				new Variable("load.waiting", SimpleType.INT), new Variable("load.in_flight", SimpleType.INT),
				new Variable("load.limit", SimpleType.INT), new Variable("load.wait_ms", SimpleType.INT));

		private Variables() {
		}

	}

}
