package org.tallycart.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.tallycart.core.declaration.DeclarationReader;
import org.tallycart.core.declaration.Declarations;
import org.tallycart.core.ini.IniParser;
import org.tallycart.core.ini.IniSection;
import org.tallycart.core.ini.Problem;
import org.tallycart.policy.CelPolicyCompiler;

/**
 * Reads and checks a directory of declarations: every {@code .ini} file in it and its
 * subdirectories. The file {@code .tallycart-base} in it holds the version that its
 * content is based on.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
final class DeclarationDirectory {

	private static final String BASE_FILE = ".tallycart-base";

	private static final String SUFFIX = ".ini";

	private DeclarationDirectory() {
	}

	/**
	 * Read and check all declarations.
	 * @param directory the directory
	 * @return canonical texts by section name, or all problems
	 */
	static Either<List<Problem>, SortedMap<String, String>> read(Path directory) {
		List<Problem> problems = new ArrayList<>();
		List<IniSection> sections = new ArrayList<>();
		try (Stream<Path> files = Files.walk(directory)) {
			for (Path file : files.filter((path) -> path.toString().endsWith(SUFFIX)).sorted().toList()) {
				sections.addAll(IniParser.read(file.toString(), Files.readString(file), problems));
			}
		}
		catch (IOException ex) {
			problems.add(new Problem(directory.toString(), 0, 0, "cannot be read: " + ex, ""));
		}
		problems.addAll(IniParser.findDuplicateSections(sections));
		Either<List<Problem>, Declarations> declarations = DeclarationReader.read(sections, CelPolicyCompiler.create());
		declarations.peekLeft(problems::addAll);
		if (!problems.isEmpty()) {
			return Either.left(problems);
		}
		SortedMap<String, String> texts = new TreeMap<>();
		sections.forEach((section) -> texts.put(section.name(), section.canonical()));
		return Either.right(texts);
	}

	/**
	 * Check a set of declarations as a whole.
	 * @param texts canonical texts by section name
	 * @return the problems; empty if there are none
	 */
	static List<Problem> check(SortedMap<String, String> texts) {
		List<Problem> problems = new ArrayList<>();
		List<IniSection> sections = new ArrayList<>();
		texts.forEach((name, text) -> sections.addAll(IniParser.read("merged [" + name + "]", text, problems)));
		DeclarationReader.read(sections, CelPolicyCompiler.create()).peekLeft(problems::addAll);
		return problems;
	}

	/**
	 * Read the version that a directory's content is based on.
	 * @param directory the directory
	 * @return the version; 0 if the file is missing or is not a number
	 */
	static long readBaseVersion(Path directory) {
		try {
			return Long.parseLong(Files.readString(directory.resolve(BASE_FILE)).strip());
		}
		catch (IOException | NumberFormatException ex) {
			return 0;
		}
	}

	/**
	 * Write the version that a directory's content is based on.
	 * @param directory the directory
	 * @param version the version
	 * @return false if the file could not be written
	 */
	static boolean writeBaseVersion(Path directory, long version) {
		try {
			Files.writeString(directory.resolve(BASE_FILE), version + "\n");
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

}
