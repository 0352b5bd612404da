package org.tallycart.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.tallycart.core.serving.NodeSettings;
import org.tallycart.platform.settings.SettingsReader;

/**
 * The settings file, which may change while the process runs.
 * <p>
 * Invariant: a change is reported once. Not thread-safe.
 */
final class SettingsSource {

	private final Path path;

	private String content = "";

	SettingsSource(Path path) {
		this.path = path;
	}

	/**
	 * Read the file.
	 * @return the settings, or all problems with the file
	 */
	Either<List<String>, NodeSettings> read() {
		try {
			this.content = Files.readString(this.path);
			return SettingsReader.read(this.content);
		}
		catch (IOException ex) {
			return Either.left(List.of("cannot read " + this.path + ": " + ex.getMessage()));
		}
	}

	/**
	 * Return whether the content of the file has changed since it was last read.
	 * @return true if it has changed
	 */
	boolean isChanged() {
		try {
			return !Files.readString(this.path).equals(this.content);
		}
		catch (IOException ex) {
			// The file is probably being replaced; the next check reads it again.
			return false;
		}
	}

}
