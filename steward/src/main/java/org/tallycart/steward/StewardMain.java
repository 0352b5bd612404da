package org.tallycart.steward;

import java.util.List;

import io.vavr.control.Either;
import org.tallycart.core.ini.Problem;
import org.tallycart.runtime.process.Daemon;
import org.tallycart.runtime.process.DaemonCommand;
import org.tallycart.runtime.settings.SettingsFile;
import picocli.CommandLine.Command;

/**
 * Main class of the program {@code tallycart-steward}.
 * <p>
 * Not thread-safe: used by the main thread.
 *
 * @since 0.1
 */
@Command(name = "tallycart-steward",
		description = "Keeps this VM in step with the fleet: membership, configuration, slots, limits.")
public final class StewardMain extends DaemonCommand<StewardSettings> {

	/**
	 * Run the program.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(execute(new StewardMain(), args));
	}

	@Override
	protected StewardSettings read(SettingsFile file, List<Problem> problems) {
		return StewardSettings.read(file, problems);
	}

	@Override
	protected Either<String, Daemon> start(StewardSettings settings) {
		return Steward.start(settings);
	}

}
