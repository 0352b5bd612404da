package org.tallycart.node;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.attempt.HedgeLimits;
import org.tallycart.core.serving.NodeSettings;
import org.tallycart.node.log.NodeLogging;
import org.tallycart.platform.settings.SettingsReader;
import org.tallycart.runtime.process.ExitCode;
import org.tallycart.runtime.process.VersionProvider;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import sun.misc.Signal;

/**
 * Starts a serving process and drains it on SIGTERM or SIGINT. Reloads the settings on
 * SIGHUP and when the settings file changes.
 * <p>
 * Thread-safe: used by the main thread only.
 *
 * @since 0.1
 */
@Command(name = "tallycart-node", mixinStandardHelpOptions = true, versionProvider = VersionProvider.class,
		description = "Serves callers on a VM of the platform.")
public final class NodeMain implements Callable<Integer> {

	/** Interval of checks for a changed settings file, in milliseconds. */
	private static final long SETTINGS_CHECK_INTERVAL_MS = 2_000;

	/**
	 * Default port of the metrics, outside the range that the platform assigns. The
	 * deploy file contains it, too.
	 */
	private static final int DEFAULT_METRICS_PORT = 9464;

	@Option(names = "--settings", description = "The platform's settings file; else the path that the variable "
			+ SettingsReader.PATH_VARIABLE + " holds.")
	private String settingsPath = "";

	@Option(names = "--log-level", description = "ERROR, WARN, INFO or DEBUG; INFO if not given.")
	private String logLevel = "INFO";

	@Option(names = "--metrics-port", description = "Where metrics are shown; ${DEFAULT-VALUE} if not given.")
	private int metricsPort = DEFAULT_METRICS_PORT;

	@Option(names = "--upstream-proxy-host",
			description = "Host that is connected to in place of those of upstreams;" + " their ports stay.")
	private @Nullable String proxyHost;

	@Option(names = "--self-test", description = "Serve on loopback, with a store and upstreams of its own, and stop.")
	private boolean selfTest;

	@Option(names = "--check", description = "Check the settings and stop.")
	private boolean check;

	@Mixin
	private HedgeOptions hedges = new HedgeOptions();

	/**
	 * Run the program. Without arguments, as the platform starts it, the command line
	 * library is not loaded, since its classes cannot be part of a class archive and slow
	 * down the start.
	 * @param arguments the command line
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		NodeMain program = new NodeMain();
		System.exit((arguments.length == 0) ? program.call() : new CommandLine(program).execute(arguments));
	}

	@Override
	public Integer call() throws InterruptedException {
		if (this.selfTest) {
			return selfTest(this.logLevel);
		}
		Either<String, HedgeLimits> hedgeLimits = this.hedges.limits();
		if (hedgeLimits.isLeft()) {
			System.err.println(hedgeLimits.getLeft());
			return ExitCode.USAGE;
		}
		String variable = System.getenv(SettingsReader.PATH_VARIABLE);
		String path = (this.settingsPath.isEmpty() && variable != null) ? variable : this.settingsPath;
		SettingsSource source = new SettingsSource(Path.of(path));
		Either<List<String>, NodeSettings> settings = source.read();
		if (settings.isLeft()) {
			settings.getLeft().forEach((problem) -> System.err.println("settings: " + problem));
			return ExitCode.USAGE;
		}
		if (this.check) {
			return ExitCode.OK;
		}
		NodeLogging.configure(this.logLevel);
		Either<String, Node> node = Node.start(settings.get(), this.metricsPort, Optional.ofNullable(this.proxyHost),
				hedgeLimits.get());
		if (node.isLeft()) {
			System.err.println(node.getLeft());
			return ExitCode.FAILED;
		}
		watchSignals(node.get(), source);
		node.get().awaitStopped();
		return ExitCode.OK;
	}

	private static int selfTest(String logLevel) throws InterruptedException {
		NodeLogging.configure(logLevel);
		List<String> failures = SelfTest.run();
		failures.forEach((failure) -> System.err.println("self-test: " + failure));
		return failures.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
	}

	private static void watchSignals(Node node, SettingsSource source) {
		Signal.handle(new Signal("TERM"), (signal) -> node.drain());
		Signal.handle(new Signal("INT"), (signal) -> node.drain());
		Signal.handle(new Signal("HUP"), (signal) -> reload(node, source));
		node.scheduleWithFixedDelay(SETTINGS_CHECK_INTERVAL_MS, () -> {
			if (source.isChanged()) {
				reload(node, source);
			}
		});
	}

	private static synchronized void reload(Node node, SettingsSource source) {
		source.read().peek(node::reload).peekLeft(node::reloadFailed);
	}

}
