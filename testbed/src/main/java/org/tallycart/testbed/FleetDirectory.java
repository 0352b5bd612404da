package org.tallycart.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Directory with the settings and logs of a local fleet.
 * <p>
 * Thread-safe: immutable, and each process has its own files.
 *
 * @since 0.1
 */
final class FleetDirectory {

	private final Path directory;

	private final Map<String, String> overrides;

	private FleetDirectory(Path directory, Map<String, String> overrides) {
		this.directory = directory;
		this.overrides = overrides;
	}

	/**
	 * Create a temporary directory for a fleet.
	 * @param name the fleet's name
	 * @param overrides settings by {@code program.section.key}, which take precedence
	 * over all others
	 * @return the directory
	 * @throws IOException if the directory cannot be created
	 */
	static FleetDirectory create(String name, Map<String, String> overrides) throws IOException {
		return new FleetDirectory(Files.createTempDirectory("tallycart-" + name + "-"), Map.copyOf(overrides));
	}

	Path path() {
		return this.directory;
	}

	Path log(String name) {
		return this.directory.resolve(name + ".log");
	}

	Path write(String name, String text) throws IOException {
		return Files.writeString(this.directory.resolve(name), text);
	}

	/**
	 * Write the settings file of a program, with the overrides applied.
	 * @param program the program, as named in overrides
	 * @param vm the VM's id
	 * @param sections the settings by section and key; the overrides are added to it
	 * @return the file
	 * @throws IOException if the file cannot be written
	 */
	Path writeSettings(String program, String vm, Map<String, Map<String, String>> sections) throws IOException {
		this.overrides.forEach((name, value) -> {
			String[] path = name.split("\\.", 3);
			if (path[0].equals(program)) {
				sections.computeIfAbsent(path[1], (key) -> new LinkedHashMap<>()).put(path[2], value);
			}
		});
		StringBuilder text = new StringBuilder();
		sections.forEach((name, values) -> {
			text.append('[').append(name).append("]\n");
			values.forEach((key, value) -> text.append(key).append(" = ").append(value).append('\n'));
			text.append('\n');
		});
		return write(program + "-" + vm + ".ini", text.toString());
	}

}
