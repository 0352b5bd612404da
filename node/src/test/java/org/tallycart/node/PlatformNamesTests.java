package org.tallycart.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

/**
 * Tests that the platform's names of headers, paths and fields occur in the platform
 * module only.
 */
public class PlatformNamesTests {

	private static final Path ROOT = Path.of("..");

	private static final Pattern NAMES = Pattern
		.compile("X-Tallycart-|Kv-Fetch|Api-Key|Last-Event-Id|/v1/(objects|stage-|kv-|report|readyz|hold-)"
				+ "|kv_used|path_prefix|max_attempts|stage-run|is_stale|fleetbench|TALLYCART_CONFIG");

	@Test
	void onlyThePlatformModuleContainsPlatformNames() throws IOException {
		List<String> found = new ArrayList<>();
		int sources = 0;
		try (Stream<Path> modules = Files.list(ROOT)) {
			for (Path module : modules.filter((path) -> Files.isDirectory(path.resolve("src/main/java"))).toList()) {
				if (!"platform".equals(module.getFileName().toString())) {
					sources += search(module.resolve("src/main/java"), found);
				}
			}
		}
		assertFalse(sources == 0, "no source was read");
		assertEquals(found, List.of());
	}

	private static int search(Path folder, List<String> found) throws IOException {
		try (Stream<Path> files = Files.walk(folder)) {
			List<Path> sources = files.filter((path) -> path.toString().endsWith(".java")).toList();
			for (Path source : sources) {
				if (NAMES.matcher(Files.readString(source)).find()) {
					found.add(source.toString());
				}
			}
			return sources.size();
		}
	}

}
