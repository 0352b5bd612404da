package org.tallycart.core.declaration;

import java.util.ArrayList;
import java.util.List;

import org.tallycart.core.ini.IniParser;
import org.tallycart.core.ini.Problem;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link DeclarationReader} and {@link IniParser}.
 */
public class DeclarationReaderTests {

	private static final String VALID = """
			# the whole path
			[service encode]
			kind = encode
			upstreams = e1 10.0.0.1:80 lac 4, e2 10.0.0.2:80 ariana

			[service generate]
			kind = generate
			upstreams = g1 10.0.0.3:80 lac 8
			cost-per-token = 0.5

			[pipeline gloss]
			stages = encode, generate
			deadline = 5s
			policy = p

			[workspace teachers]
			weight = 2

			[policy p]
			admit = a == 'b:c' ; not a comment
			""";

	private static List<String> problems(String text) {
		List<Problem> problems = new ArrayList<>();
		var sections = IniParser.read("d.ini", text, problems);
		DeclarationReader.read(sections, (section, source) -> List.of()).peekLeft(problems::addAll);
		return problems.stream().map(Problem::toString).toList();
	}

	@Test
	void validDeclarationsAreRead() {
		List<Problem> none = new ArrayList<>();
		Declarations read = DeclarationReader.read(IniParser.read("d.ini", VALID, none), (section, source) -> List.of())
			.get();
		assertTrue(none.isEmpty());
		assertEquals(read.pipelines().get("gloss").deadlineMs(), 5_000);
		assertEquals(read.services().get("encode").upstreams().get(1).slots(), 4);
		assertEquals(read.services().get("generate").costPerToken(), 0.5);
		assertEquals(read.policies().get("p").admit(), "a == 'b:c' ; not a comment");
	}

	@DataProvider
	Object[][] mistakes() {
		return new Object[][] {
				{ "stages = encode, generate", "stages = encode, nothing", "d.ini:12:1: stages: 'nothing' is not" },
				{ "stages = encode, generate", "stages = generate, encode",
						"d.ini:12:1: stages: 'encode' stands after" },
				{ "deadline = 5s", "deadline = 5", "d.ini:13:1: deadline: '5' is not a duration" },
				{ "deadline = 5s", "deadline = 5 parsecs", "is not a duration" },
				{ "deadline = 5s", "deadlin = 5s", "d.ini:13:1: deadlin: is not a key" },
				{ "policy = p", "policy = q", "'q' is not a declared policy" },
				{ "weight = 2", "weight = -2", "out of bounds" },
				{ "kind = encode", "kind = encoder", "d.ini:3:1: kind: 'encoder' is not a known word" },
				{ "e2 10.0.0.2:80 ariana", "e1 10.0.0.2:80 ariana", "'e1' is declared twice" },
				{ "e2 10.0.0.2:80 ariana", "e2 10.0.0.2 ariana", "is not an address" },
				{ "[workspace teachers]", "[workspace]", "lacks a name" },
				{ "[workspace teachers]", "[planet teachers]", "not a kind" },
				{ "[workspace teachers]", "[pipeline gloss]", "stands twice" },
				{ "weight = 2", "weight", "neither a section" },
				{ "# the whole path", "a = b", "outside any section" } };
	}

	@Test(dataProvider = "mistakes")
	void mistakeIsReportedWithItsPosition(String valid, String invalid, String expected) {
		List<String> found = problems(VALID.replace(valid, invalid));
		assertTrue(found.stream().anyMatch((problem) -> problem.contains(expected)), found.toString());
	}

	@Test
	void allMistakesAreReportedTogether() {
		List<String> found = problems(
				VALID.replace("deadline = 5s", "deadline = x").replace("weight = 2", "weight = y"));
		assertEquals(found.size(), 2, found.toString());
	}

}
