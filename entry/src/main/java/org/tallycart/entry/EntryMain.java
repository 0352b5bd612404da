package org.tallycart.entry;

import java.util.List;

import io.vavr.control.Either;
import org.tallycart.core.ini.Problem;
import org.tallycart.runtime.process.Daemon;
import org.tallycart.runtime.process.DaemonCommand;
import org.tallycart.runtime.settings.SettingsFile;
import picocli.CommandLine.Command;

/**
 * Main class of {@code tallycart-entry}.
 * <p>
 * Not thread-safe: used by the main thread.
 *
 * @since 0.1
 */
@Command(name = "tallycart-entry", description = "Accepts callers' requests and runs them through their pipelines.")
public final class EntryMain extends DaemonCommand<EntrySettings> {

	/**
	 * Run the program.
	 * @param args the command-line arguments
	 */
	public static void main(String[] args) {
		System.exit(execute(new EntryMain(), args));
	}

	@Override
	protected EntrySettings read(SettingsFile file, List<Problem> problems) {
		return EntrySettings.read(file, problems);
	}

	@Override
	protected Either<String, Daemon> start(EntrySettings settings) {
		return Entry.start(settings);
	}

}
