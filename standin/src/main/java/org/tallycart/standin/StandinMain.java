package org.tallycart.standin;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Callable;

import io.vavr.control.Either;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.ini.Address;
import org.tallycart.core.ini.IniParser;
import org.tallycart.core.ini.IniSection;
import org.tallycart.core.ini.Problem;
import org.tallycart.core.ini.SectionReader;
import org.tallycart.http.BlockingHttpServer;
import org.tallycart.runtime.process.DaemonCommand;
import org.tallycart.runtime.process.ExitCode;
import org.tallycart.runtime.process.VersionProvider;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Main class of {@code tallycart-standin}: runs the stand-ins of a configuration file in
 * one process, each on its own port. Prints one line that starts with {@code STARTED} and
 * lists the ports.
 * <p>
 * Not thread-safe: used by the main thread.
 *
 * @since 0.1
 */
@Command(name = "tallycart-standin", mixinStandardHelpOptions = true, versionProvider = VersionProvider.class,
		description = "Stand-ins for the platform's service and for upstreams. For tests only.")
public final class StandinMain implements Callable<Integer> {

	private static final int MAX_CONNECTIONS = 2_000;

	private static final int MAX_PORT = 65_535;

	private static final int MAX_SLOTS = 4_096;

	private static final double MAX_MS = 600_000;

	@Option(names = "--config", required = true, paramLabel = "FILE",
			description = "Sections [platform NAME] and [upstream NAME].")
	private @Nullable Path config;

	/**
	 * Start the program.
	 * @param args the command-line arguments
	 */
	public static void main(String[] args) {
		System.exit(DaemonCommand.execute(new StandinMain(), args));
	}

	@Override
	public Integer call() throws Exception {
		Path file = Objects.requireNonNull(this.config);
		List<Problem> problems = new ArrayList<>();
		List<IniSection> sections = IniParser.read(file.toString(), Files.readString(file), problems);
		StringBuilder started = new StringBuilder("STARTED");
		for (IniSection section : sections) {
			SectionReader reader = SectionReader.of(section, problems);
			UpstreamDefinition definition = readDefinition(section, reader);
			reader.reportUnknownKeys();
			if (!problems.isEmpty()) {
				problems.forEach((problem) -> System.err.println(problem));
				return ExitCode.USAGE;
			}
			Either<String, BlockingHttpServer> listener = BlockingHttpServer.start(
					new Address("127.0.0.1", definition.port()), section.id(), MAX_CONNECTIONS,
					createStandin(section.kind(), definition));
			if (listener.isLeft()) {
				System.err.println(listener.getLeft());
				return ExitCode.FAILED;
			}
			started.append(' ').append(section.id()).append('=').append(listener.get().port());
		}
		System.out.println(started);
		System.out.flush();
		Thread.currentThread().join();
		return ExitCode.OK;
	}

	private static UpstreamDefinition readDefinition(IniSection section, SectionReader reader) {
		return new UpstreamDefinition(section.id(), reader.text("kind", "platform"),
				(int) reader.number("port", 0, 0, MAX_PORT), (int) reader.number("slots", 4, 1, MAX_SLOTS),
				reader.decimal("base-ms", 5, 0, MAX_MS), reader.decimal("token-ms", 2, 0, MAX_MS),
				reader.number("seed", section.id().hashCode(), Long.MIN_VALUE, Long.MAX_VALUE));
	}

	private static HttpRequestHandler createStandin(String sectionKind, UpstreamDefinition definition) {
		if (sectionKind.equals("platform")) {
			return new PlatformStandin();
		}
		return switch (definition.kind()) {
			case "generate" -> new EngineStandin(definition);
			case "plain" -> new ServiceStandin(definition);
			default -> new PoolStandin(definition);
		};
	}

}
