package org.tallycart.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Where a local fleet's settings and logs are.
 * <p>
 * Thread-safe: immutable, and each process has files of its own.
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
	 * Create a directory for a fleet.
	 * @param name the fleet's name
	 * @param overrides settings by {@code program.section.key}, which go before all
	 * others
	 * @return the directory
	 * @throws IOException if it cannot be made
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
	 * Write a program's settings.
	 * @param program the program, as overrides name it
	 * @param vm the VM
	 * @param sections the settings by section and key
	 * @return the file
	 * @throws IOException if it cannot be written
	 */
	Path settings(String program, String vm, Map<String, Map<String, String>> sections) throws IOException {
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
