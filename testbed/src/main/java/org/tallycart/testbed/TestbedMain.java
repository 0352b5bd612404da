package org.tallycart.testbed;

import org.tallycart.runtime.event.Logging;
import org.tallycart.runtime.process.DaemonCommand;
import org.tallycart.runtime.process.VersionProvider;
import picocli.CommandLine.Command;

/**
 * Main class of {@code tallycart-testbed}; the work is done by its subcommands.
 * <p>
 * Not thread-safe: used by the main thread.
 *
 * @since 0.1
 */
@Command(name = "tallycart-testbed", mixinStandardHelpOptions = true, versionProvider = VersionProvider.class,
		description = "Fleets of real processes on this machine, and experiments on them.",
		subcommands = { DemoCommand.class, CapacityCommand.class, ExperimentCommand.class })
public final class TestbedMain implements Runnable {

	/**
	 * Start the program.
	 * @param args the command-line arguments
	 */
	public static void main(String[] args) {
		Logging.configure(Logging.LogFormat.TEXT, Logging.LogLevel.WARN);
		System.exit(DaemonCommand.execute(new TestbedMain(), args));
	}

	@Override
	public void run() {
		picocli.CommandLine.usage(this, System.out);
	}

}
