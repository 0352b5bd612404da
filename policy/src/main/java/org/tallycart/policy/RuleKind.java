package org.tallycart.policy;

import java.util.List;
import java.util.stream.Stream;

import dev.cel.common.types.CelType;
import dev.cel.common.types.SimpleType;

/**
 * The four rules of a policy, with the variables each may read and the type it must have.
 * <p>
 * Immutable and thread-safe.
 *
 * @since 0.1
 */
enum RuleKind {

	ADMIT("admit", SimpleType.BOOL, List.of()), PRIORITY("priority", SimpleType.INT, List.of()),
	PLACE("place", SimpleType.DOUBLE, Variables.UPSTREAM), SHED("shed", SimpleType.BOOL, Variables.LOAD);

	private final String key;

	private final CelType result;

	private final List<Variable> extra;

	RuleKind(String key, CelType result, List<Variable> extra) {
		this.key = key;
		this.result = result;
		this.extra = extra;
	}

	String key() {
		return this.key;
	}

	CelType result() {
		return this.result;
	}

	List<Variable> variables() {
		return Stream.concat(Variables.REQUEST.stream(), this.extra.stream()).toList();
	}

	/**
	 * A variable that rules may read.
	 *
	 * @param name its name
	 * @param type its type
	 */
	record Variable(String name, CelType type) {
	}

	/** Names and types of the variables. */
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
