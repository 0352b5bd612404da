package org.tallycart.runtime.process;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.ini.Problem;
import org.tallycart.runtime.event.Logging;
import org.tallycart.runtime.settings.LogSettings;
import org.tallycart.runtime.settings.SettingsFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Base class of the command line of a long-running process, which runs until the JVM
 * receives a signal to shut down.
 * <p>
 * Not thread-safe: used by the main thread only.
 *
 * @param <S> the type of the process's settings
 * @since 0.1
 */
@Command(mixinStandardHelpOptions = true, versionProvider = VersionProvider.class,
		exitCodeListHeading = "%nExit codes:%n", exitCodeList = { "0:ended well", "1:could not start",
				"2:command line or settings are wrong", "70:an invariant is broken" })
public abstract class DaemonCommand<S> implements Callable<Integer> {

	@Option(names = "--config", required = true, paramLabel = "FILE", description = "Settings in INI.")
	private @Nullable Path config;

	@Option(names = "--check", description = "Check the settings only.")
	private boolean check;

	/**
	 * Read the settings of the process. Any problem added prevents the start.
	 * @param file the settings file
	 * @param problems the list to which problems are added
	 * @return the settings; not used if problems were added
	 */
	protected abstract S read(SettingsFile file, List<Problem> problems);

	/**
	 * Start the process.
	 * @param settings valid settings
	 * @return the running process, or the reason why it cannot start
	 */
	protected abstract Either<String, Daemon> start(S settings);

	@Override
	public final Integer call() throws InterruptedException {
		List<Problem> problems = new ArrayList<>();
		SettingsFile file = SettingsFile.read(Objects.requireNonNull(this.config), problems);
		LogSettings log = LogSettings.read(file, problems);
		S settings = read(file, problems);
		file.reportUnknownSections(problems);
		if (!problems.isEmpty()) {
			problems.forEach((problem) -> System.err.println(problem));
			return ExitCode.USAGE;
		}
		if (this.check) {
			System.out.println(this.config + ": settings are valid");
			return ExitCode.OK;
		}
		Logging.configure(log.format(), log.level());
		return run(start(settings));
	}

	private static int run(Either<String, Daemon> started) throws InterruptedException {
		if (started.isLeft()) {
			System.err.println(started.getLeft());
			return ExitCode.FAILED;
		}
		CountDownLatch stopped = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			started.get().stop();
			stopped.countDown();
		}, "stop"));
		System.out.println("STARTED " + started.get().listeningPorts());
		System.out.flush();
		stopped.await();
		return ExitCode.OK;
	}

	/**
	 * Parse the arguments and execute a command. Enum values are case-insensitive.
	 * @param command a picocli command
	 * @param args the command-line arguments
	 * @return the exit code, one of {@link ExitCode}
	 */
	public static int execute(Object command, String[] args) {
		return new CommandLine(command).setCaseInsensitiveEnumValuesAllowed(true).execute(args);
	}

}
