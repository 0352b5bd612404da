package org.tallycart.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.tallycart.core.declaration.PolicySource;
import org.tallycart.core.ini.IniSection;
import org.tallycart.core.ini.Problem;
import org.tallycart.core.policy.LoadFacts;
import org.tallycart.core.policy.Policy;
import org.tallycart.core.policy.RequestFacts;
import org.tallycart.core.policy.UpstreamFacts;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link CelPolicy} and {@link CelPolicyCompiler}.
 */
public class CelPolicyTests {

	private static final IniSection SECTION = new IniSection("p.ini", "policy p", 3, new TreeMap<>(),
			Map.of("admit", 4, "priority", 5, "place", 6, "shed", 7));

	private final CelPolicyCompiler compiler = CelPolicyCompiler.create();

	private static RequestFacts request(String label, long maxTokens) {
		return new RequestFacts("fontibon-12", "assistant", label, true, 5_000, maxTokens);
	}

	@DataProvider
	Object[][] labels() {
		return new Object[][] { { "courier", 30L }, { "clerk", 20L }, { "shopper", 10L }, { "", 10L } };
	}

	@Test(dataProvider = "labels")
	void priorityDependsOnTheLabel(String label, long expected) {
		Policy policy = this.compiler.compile(new PolicySource("p", "",
				"request.label == 'courier' ? 30 : request.label == 'clerk' ? 20 : 10", "", "", false),
				(id, rule, message) -> {
				});
		assertEquals(policy.priority(request(label, 10)), expected);
	}

	@Test
	void placeReadsVariablesOfTheUpstream() {
		Policy policy = this.compiler.compile(
				new PolicySource("p", "", "", "upstream.domain == 'kennedy' ? 100.0 : 0.0", "", false),
				(id, rule, message) -> {
				});
		UpstreamFacts facts = new UpstreamFacts("g1", "kennedy", false, 0, 0, -1, 4);
		assertEquals(policy.place(request("", 1), facts), 100.0);
	}

	@Test
	void shedReadsVariablesOfTheLoad() {
		Policy policy = this.compiler.compile(
				new PolicySource("p", "", "", "", "request.max_tokens > 500 && load.waiting > 3", false),
				(id, rule, message) -> {
				});
		assertTrue(policy.shed(request("", 600), new LoadFacts("generate", 4, 1, 1, 0)));
		assertFalse(policy.shed(request("", 600), new LoadFacts("generate", 3, 1, 1, 0)));
	}

	@DataProvider
	Object[][] invalidRules() {
		return new Object[][] { { "1 + 1", "expected type 'bool'" }, { "request.nothing", "undeclared reference" },
				{ "request.label ==", "mismatched input" }, { "[1].all(x, x > 0)", "undeclared reference" },
				{ "true || " + "true || ".repeat(300) + "true", "characters" } };
	}

	@Test(dataProvider = "invalidRules")
	void invalidRuleIsRejectedWithItsLine(String rule, String message) {
		List<Problem> problems = this.compiler.check(SECTION, new PolicySource("p", rule, "", "", "", false));
		assertFalse(problems.isEmpty());
		assertEquals(problems.get(0).line(), 4);
		assertTrue(problems.get(0).message().contains(message), problems.get(0).message());
	}

	@Test
	void ruleThatFailsAtRunTimeFallsBackAndIsReported() {
		List<String> failures = new ArrayList<>();
		Policy policy = this.compiler.compile(new PolicySource("p", "", "10 / (request.max_tokens - 5)", "", "", false),
				(id, rule, message) -> failures.add(id + "." + rule));
		assertEquals(policy.priority(request("", 5)), 0);
		assertEquals(failures, List.of("p.priority"));
		assertEquals(policy.priority(request("", 7)), 5);
	}

}
