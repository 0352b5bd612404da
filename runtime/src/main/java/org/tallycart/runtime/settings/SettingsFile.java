package org.tallycart.runtime.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.tallycart.core.ini.IniParser;
import org.tallycart.core.ini.IniSection;
import org.tallycart.core.ini.Problem;
import org.tallycart.core.ini.SectionReader;

/**
 * A settings file, read section by section.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class SettingsFile {

	private final String file;

	private final List<IniSection> sections;

	private final Set<String> read = new HashSet<>();

	private SettingsFile(String file, List<IniSection> sections) {
		this.file = file;
		this.sections = sections;
	}

	/**
	 * Read a file.
	 * @param path the file
	 * @param problems where problems are added
	 * @return the file, empty if it cannot be read
	 */
	public static SettingsFile read(Path path, List<Problem> problems) {
		try {
			return new SettingsFile(path.toString(), IniParser.read(path.toString(), Files.readString(path), problems));
		}
		catch (IOException ex) {
			problems.add(new Problem(path.toString(), 0, 0, "cannot be read: " + ex, ""));
			return new SettingsFile(path.toString(), List.of());
		}
	}

	/**
	 * Read a section; a section that is not there reads as an empty one.
	 * @param name the section
	 * @param problems where problems are added
	 * @return a reader of the section
	 */
	public SectionReader section(String name, List<Problem> problems) {
		this.read.add(name);
		IniSection section = this.sections.stream()
			.filter((candidate) -> candidate.name().equals(name))
			.findFirst()
			.orElseGet(() -> new IniSection(this.file, name, 0, new TreeMap<>(), Map.of()));
		return SectionReader.of(section, problems);
	}

	/**
	 * Report sections that nothing has read.
	 * @param problems where problems are added
	 */
	public void reportUnknownSections(List<Problem> problems) {
		for (IniSection section : this.sections) {
			if (!this.read.contains(section.name())) {
				problems
					.add(new Problem(this.file, section.line(), 1, "[" + section.name() + "] is not a known section",
							"known here: " + String.join(", ", new java.util.TreeSet<>(this.read))));
			}
		}
	}

}
