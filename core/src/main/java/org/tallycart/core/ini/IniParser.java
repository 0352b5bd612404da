package org.tallycart.core.ini;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.ini4j.Config;
import org.ini4j.Ini;
import org.ini4j.Profile;

/**
 * Parser for INI text. Values are read by ini4j; a separate pass over the lines
 * determines the line of each key and detects mistakes that ini4j ignores.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class IniParser {

	private IniParser() {
	}

	/**
	 * Parse a text.
	 * @param file the file name to use in problems
	 * @param text the text
	 * @param problems the list to which problems are added
	 * @return the sections that could be read, in order
	 */
	public static List<IniSection> read(String file, String text, List<Problem> problems) {
		Map<String, Map<String, Integer>> lines = new HashMap<>();
		Map<String, Integer> sectionLines = new HashMap<>();
		int problemsBefore = problems.size();
		indexLines(file, text, lines, sectionLines, problems);
		if (problems.size() > problemsBefore) {
			return List.of();
		}
		Ini ini = load(text);
		List<IniSection> sections = new ArrayList<>();
		for (Profile.Section section : ini.values()) {
			Map<String, Integer> keys = lines.getOrDefault(section.getName(), Map.of());
			sections.add(new IniSection(file, section.getName(), sectionLines.getOrDefault(section.getName(), 0),
					new TreeMap<>(section), keys));
		}
		return sections;
	}

	private static Ini load(String text) {
		Config config = new Config();
		config.setEscape(false);
		config.setPathSeparator('\u0000');
		Ini ini = new Ini();
		ini.setConfig(config);
		try {
			ini.load(new StringReader(text));
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("ini4j cannot parse text that passed the line check: " + ex.getMessage(),
					ex);
		}
		return ini;
	}

	private static void indexLines(String file, String text, Map<String, Map<String, Integer>> lines,
			Map<String, Integer> sectionLines, List<Problem> problems) {
		String section = null;
		int number = 0;
		for (String raw : text.split("\n", -1)) {
			number++;
			String line = raw.strip();
			if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) {
				continue;
			}
			if (line.startsWith("[")) {
				section = addSection(file, line, number, sectionLines, problems);
				continue;
			}
			int equals = line.indexOf('=');
			int column = raw.indexOf(line) + 1;
			if (section == null) {
				problems.add(new Problem(file, number, column, "a value outside any section", "begin with [section]"));
			}
			else if (equals <= 0) {
				problems.add(new Problem(file, number, column, "a line that is neither a section nor key = value", ""));
			}
			else {
				addKey(file, line.substring(0, equals).strip(), number, column,
						lines.computeIfAbsent(section, (name) -> new HashMap<>()), problems);
			}
		}
	}

	private static String addSection(String file, String line, int number, Map<String, Integer> sectionLines,
			List<Problem> problems) {
		String name = line.endsWith("]") ? line.substring(1, line.length() - 1).strip() : "";
		if (name.isEmpty()) {
			problems.add(new Problem(file, number, 1, "a section header needs a name and a closing bracket", "[name]"));
		}
		Integer firstLine = sectionLines.putIfAbsent(name, number);
		if (firstLine != null) {
			problems.add(new Problem(file, number, 1, "section [" + name + "] stands twice",
					"it is first defined in line " + firstLine));
		}
		return name;
	}

	private static void addKey(String file, String key, int number, int column, Map<String, Integer> keys,
			List<Problem> problems) {
		if (key.indexOf(':') >= 0) {
			problems.add(new Problem(file, number, column, "key '" + key + "' contains a colon", "write key = value"));
		}
		Integer firstLine = keys.putIfAbsent(key, number);
		if (firstLine != null) {
			problems.add(new Problem(file, number, column, "key '" + key + "' is defined twice",
					"it is first defined in line " + firstLine));
		}
	}

	/**
	 * Find sections that are defined in more than one file.
	 * @param sections the sections of all files
	 * @return one problem for each repeated section
	 */
	public static List<Problem> findDuplicateSections(List<IniSection> sections) {
		Set<String> names = new HashSet<>();
		List<Problem> problems = new ArrayList<>();
		for (IniSection section : sections) {
			if (!names.add(section.name())) {
				problems.add(new Problem(section.file(), section.line(), 1,
						"section [" + section.name() + "] is also defined in another file", ""));
			}
		}
		return problems;
	}

}
