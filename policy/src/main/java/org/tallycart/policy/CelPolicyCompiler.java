package org.tallycart.policy;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import dev.cel.common.CelAbstractSyntaxTree;
import dev.cel.common.CelIssue;
import dev.cel.common.CelValidationException;
import dev.cel.compiler.CelCompiler;
import dev.cel.compiler.CelCompilerBuilder;
import dev.cel.compiler.CelCompilerFactory;
import dev.cel.runtime.CelEvaluationException;
import dev.cel.runtime.CelRuntime;
import dev.cel.runtime.CelRuntimeFactory;
import org.tallycart.core.declaration.PolicyChecker;
import org.tallycart.core.declaration.PolicySource;
import org.tallycart.core.ini.IniSection;
import org.tallycart.core.ini.Problem;
import org.tallycart.core.policy.Policy;

/**
 * Checks and compiles policies.
 * <p>
 * The cost of a rule is bounded: its length is limited, and the macros that iterate are
 * not available. Thread-safe.
 *
 * @since 0.1
 */
public final class CelPolicyCompiler implements PolicyChecker {

	/** Maximum length of a rule, in characters. */
	public static final int MAX_RULE_LENGTH = 2_000;

	private static final CelRuntime RUNTIME = CelRuntimeFactory.standardCelRuntimeBuilder().build();

	private final Map<RuleKind, CelCompiler> compilers = new EnumMap<>(RuleKind.class);

	private CelPolicyCompiler() {
		for (RuleKind kind : RuleKind.values()) {
			CelCompilerBuilder builder = CelCompilerFactory.standardCelCompilerBuilder()
				.setResultType(kind.resultType());
			kind.variables().forEach((variable) -> builder.addVar(variable.name(), variable.type()));
			this.compilers.put(kind, builder.build());
		}
	}

	/**
	 * Create a compiler.
	 * @return the compiler
	 */
	public static CelPolicyCompiler create() {
		return new CelPolicyCompiler();
	}

	@Override
	public List<Problem> check(IniSection section, PolicySource source) {
		List<Problem> problems = new ArrayList<>();
		compileRules(section, source, problems);
		return problems;
	}

	/**
	 * Compile a policy. A rule that does not compile is reported to the listener and
	 * replaced by the built-in rule.
	 * @param source the declaration of the policy
	 * @param listener receives failures of rules
	 * @return the policy
	 */
	public Policy compile(PolicySource source, RuleFailureListener listener) {
		IniSection section = new IniSection(source.id(), "policy " + source.id(), 0, new java.util.TreeMap<>(),
				Map.of());
		List<Problem> problems = new ArrayList<>();
		Map<RuleKind, CelRuntime.Program> programs = compileRules(section, source, problems);
		problems.forEach((problem) -> listener.onRuleFailed(source.id(), "compile", problem.message()));
		return new CelPolicy(source.id(), programs, listener);
	}

	private Map<RuleKind, CelRuntime.Program> compileRules(IniSection section, PolicySource source,
			List<Problem> problems) {
		Map<RuleKind, CelRuntime.Program> programs = new EnumMap<>(RuleKind.class);
		for (RuleKind kind : RuleKind.values()) {
			String rule = ruleText(kind, source);
			if (!rule.isEmpty()) {
				compileRule(kind, rule, section, problems, programs);
			}
		}
		return programs;
	}

	private static String ruleText(RuleKind kind, PolicySource source) {
		return switch (kind) {
			case ADMIT -> source.admit();
			case PRIORITY -> source.priority();
			case PLACE -> source.place();
			case SHED -> source.shed();
		};
	}

	private void compileRule(RuleKind kind, String rule, IniSection section, List<Problem> problems,
			Map<RuleKind, CelRuntime.Program> programs) {
		int line = section.lines().getOrDefault(kind.key(), section.line());
		if (rule.length() > MAX_RULE_LENGTH) {
			problems.add(new Problem(section.file(), line, 1,
					kind.key() + ": the rule has " + rule.length() + " characters", "at most " + MAX_RULE_LENGTH));
			return;
		}
		try {
			CelCompiler compiler = Objects.requireNonNull(this.compilers.get(kind));
			CelAbstractSyntaxTree tree = compiler.compile(rule).getAst();
			programs.put(kind, RUNTIME.createProgram(tree));
		}
		catch (CelValidationException ex) {
			for (CelIssue issue : ex.getErrors()) {
				problems.add(new Problem(section.file(), line, issue.getSourceLocation().getColumn() + 1,
						kind.key() + ": " + issue.getMessage(), "columns count from the start of the rule"));
			}
		}
		catch (CelEvaluationException ex) {
			problems.add(new Problem(section.file(), line, 1, kind.key() + ": " + ex.getMessage(), ""));
		}
	}

}
