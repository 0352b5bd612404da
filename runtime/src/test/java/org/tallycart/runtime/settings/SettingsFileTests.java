package org.tallycart.runtime.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.tallycart.core.ini.Problem;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link SettingsFile}.
 */
public class SettingsFileTests {

	private static List<String> problems(String text) throws IOException {
		Path file = Files.createTempFile("settings", ".ini");
		Files.writeString(file, text);
		List<Problem> problems = new ArrayList<>();
		SettingsFile settings = SettingsFile.read(file, problems);
		LogSettings.read(settings, problems);
		VmSettings.read(settings, problems);
		settings.reportUnknownSections(problems);
		Files.delete(file);
		return problems.stream().map((problem) -> problem.line() + " " + problem.message()).toList();
	}

	@Test
	void validSettingsHaveNoProblems() throws IOException {
		assertEquals(problems("[vm]\nid = vm-1\ndomain = lac\n\n[log]\nlevel = debug\nformat = json\n"), List.of());
	}

	@Test
	void allProblemsAreReportedTogether() throws IOException {
		List<String> found = problems("[vm]\nid = vm 1\n\n[log]\nlevel = loud\ncolour = red\n\n[planet]\na = b\n");
		assertEquals(found.size(), 5, found.toString());
		assertTrue(found.contains("1 [vm] lacks the key 'domain'"), found.toString());
		assertTrue(found.contains("8 [planet] is not a known section"), found.toString());
	}

	@Test
	void unreadableFileIsReported() {
		List<Problem> problems = new ArrayList<>();
		SettingsFile.read(Path.of("/nowhere/at/all.ini"), problems);
		assertEquals(problems.size(), 1);
	}

}
