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
 * Command line of a process that runs until it is told to stop.
 * <p>
 * Not thread-safe: used by the main thread.
 *
 * @param <S> the process's settings
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
	 * Read the settings.
	 * @param file the file
	 * @param problems where problems are added
	 * @return the settings
	 */
	protected abstract S read(SettingsFile file, List<Problem> problems);

	/**
	 * Start the process.
	 * @param settings the settings
	 * @return the running process, or why it cannot start
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
			System.out.println(this.config + ": settings are good");
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
	 * Run a command line.
	 * @param command the command
	 * @param args the arguments
	 * @return the exit code
	 */
	public static int execute(Object command, String[] args) {
		return new CommandLine(command).setCaseInsensitiveEnumValuesAllowed(true).execute(args);
	}

}
