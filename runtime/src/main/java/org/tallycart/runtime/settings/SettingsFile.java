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
 * Settings file in INI format, read section by section. Keeps track of the sections read,
 * so that unknown ones can be reported.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class SettingsFile {

	private final String file;

	private final List<IniSection> sections;

	private final Set<String> readSections = new HashSet<>();

	private SettingsFile(String file, List<IniSection> sections) {
		this.file = file;
		this.sections = sections;
	}

	/**
	 * Read a file.
	 * @param path the path of the file
	 * @param problems the list to which problems are added
	 * @return the settings, without sections if the file cannot be read
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
	 * Return a reader of a section and mark the section as read. A missing section reads
	 * as an empty one.
	 * @param name the name of the section
	 * @param problems the list to which problems are added
	 * @return the reader
	 */
	public SectionReader section(String name, List<Problem> problems) {
		this.readSections.add(name);
		IniSection section = this.sections.stream()
			.filter((candidate) -> candidate.name().equals(name))
			.findFirst()
			.orElseGet(() -> new IniSection(this.file, name, 0, new TreeMap<>(), Map.of()));
		return SectionReader.of(section, problems);
	}

	/**
	 * Report each section of the file that was not read by {@link #section}.
	 * @param problems the list to which problems are added
	 */
	public void reportUnknownSections(List<Problem> problems) {
		for (IniSection section : this.sections) {
			if (!this.readSections.contains(section.name())) {
				problems
					.add(new Problem(this.file, section.line(), 1, "[" + section.name() + "] is not a known section",
							"known here: " + String.join(", ", new java.util.TreeSet<>(this.readSections))));
			}
		}
	}

}
