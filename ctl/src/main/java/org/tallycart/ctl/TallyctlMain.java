package org.tallycart.ctl;

import org.tallycart.runtime.event.Logging;
import org.tallycart.runtime.process.DaemonCommand;
import org.tallycart.runtime.process.VersionProvider;
import picocli.CommandLine.Command;

/**
 * Main class of the program {@code tallyctl}.
 * <p>
 * Not thread-safe: used by the main thread.
 *
 * @since 0.1
 */
@Command(name = "tallyctl", mixinStandardHelpOptions = true, versionProvider = VersionProvider.class,
		description = "The operators' command line.", exitCodeListHeading = "%nExit codes:%n",
		exitCodeList = { "0:accepted, or done", "1:failed; nothing was changed", "2:wrong command line",
				"3:refused: the declarations are wrong", "4:conflict with another change",
				"5:outcome unknown; the output names the command to run next",
				"6:accepted, but not in force everywhere in time" },
		subcommands = { ValidateCommand.class, PlanCommand.class, ApplyCommand.class, HistoryCommand.class,
				ShowCommand.class, StatusCommand.class, TimelineCommand.class, PolicyCommand.class })
public final class TallyctlMain implements Runnable {

	/**
	 * Run the program.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		Logging.configure(Logging.LogFormat.TEXT, Logging.LogLevel.WARN);
		System.exit(execute(args));
	}

	/**
	 * Run a command without exiting the process.
	 * @param args the command line
	 * @return the exit code
	 */
	public static int execute(String... args) {
		return DaemonCommand.execute(new TallyctlMain(), args);
	}

	@Override
	public void run() {
		picocli.CommandLine.usage(this, System.out);
	}

}
