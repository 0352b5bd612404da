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

	private String text = "";

	SettingsSource(Path path) {
		this.path = path;
	}

	/**
	 * Read the file.
	 * @return the settings, or all that is wrong
	 */
	Either<List<String>, NodeSettings> read() {
		try {
			this.text = Files.readString(this.path);
			return SettingsReader.read(this.text);
		}
		catch (IOException ex) {
			return Either.left(List.of("cannot read " + this.path + ": " + ex.getMessage()));
		}
	}

	/**
	 * Tell whether the file has another text than when it was read last.
	 * @return true if it has
	 */
	boolean changed() {
		try {
			return !Files.readString(this.path).equals(this.text);
		}
		catch (IOException ex) {
			// A file that is being replaced is looked at again the next time.
			return false;
		}
	}

}
