package org.tallycart.ctl;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.uuid.Generators;
import io.vavr.control.Either;
import org.tallycart.core.ini.Address;
import org.tallycart.core.ini.Problem;
import org.tallycart.runtime.process.ExitCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Applies a directory of declarations. The exit code tells whether the change was
 * accepted, refused, in conflict, or not applied; if the platform's service does not
 * reply, the outcome is unknown and the output names the command that resolves it.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
@Command(name = "apply", mixinStandardHelpOptions = true, description = "Apply a directory of declarations.")
final class ApplyCommand implements Callable<Integer> {

	private static final long POLL_INTERVAL_MS = 100;

	@Parameters(paramLabel = "DIR", description = "The directory of declarations.")
	private Path directory = Path.of(".");

	@Option(names = "--base", paramLabel = "VERSION", defaultValue = "-1",
			description = "The version the directory began from. Default: what it has written down.")
	private long base;

	@Option(names = "--author", paramLabel = "NAME", defaultValue = "${sys:user.name}",
			description = "Who makes the change. Default: ${DEFAULT-VALUE}")
	private String author = "";

	@Option(names = "--wait", description = "Wait until the change is in force in the whole fleet.")
	private boolean wait;

	@Option(names = "--timeout-s", paramLabel = "SECONDS", defaultValue = "11",
			description = "How long to wait. Default: ${DEFAULT-VALUE}")
	private long timeoutS;

	@Option(names = "--quiet", description = "Print nothing if the change is accepted.")
	private boolean quiet;

	@Mixin
	private FleetOptions fleet = new FleetOptions();

	@Mixin
	private OutputOptions output = new OutputOptions();

	@Override
	public Integer call() throws InterruptedException {
		Either<List<Problem>, SortedMap<String, String>> mine = DeclarationDirectory.read(this.directory);
		if (mine.isLeft()) {
			mine.getLeft().forEach((problem) -> System.err.println(problem));
			return ExitCode.REFUSED;
		}
		long version = (this.base >= 0) ? this.base : DeclarationDirectory.readBaseVersion(this.directory);
		String change = Generators.timeBasedEpochGenerator().generate().toString();
		ApplyResult result = this.fleet.configStore()
			.apply(mine.get(), version, change, this.author.replace('\t', ' '));
		boolean active = result.status() == ApplyResult.Status.ACCEPTED
				|| result.status() == ApplyResult.Status.UNCHANGED;
		if (active) {
			DeclarationDirectory.writeBaseVersion(this.directory, result.version());
		}
		int code = (active && this.quiet) ? ExitCode.OK : this.output.printResult(result, exitCode(result.status()));
		return (active && this.wait) ? awaitActive(result.version()) : code;
	}

	private static int exitCode(ApplyResult.Status status) {
		return switch (status) {
			case ACCEPTED, UNCHANGED -> ExitCode.OK;
			case REFUSED -> ExitCode.REFUSED;
			case CONFLICT -> ExitCode.CONFLICT;
			case NOT_APPLIED -> ExitCode.FAILED;
			case OUTCOME_UNKNOWN -> ExitCode.OUTCOME_UNKNOWN;
		};
	}

	private int awaitActive(long version) throws InterruptedException {
		long deadlineNs = System.nanoTime() + this.timeoutS * 1_000_000_000L;
		List<String> outdated = describeOutdated(version);
		while (!outdated.isEmpty() && System.nanoTime() < deadlineNs) {
			Thread.sleep(POLL_INTERVAL_MS);
			outdated = describeOutdated(version);
		}
		if (outdated.isEmpty()) {
			System.out.println("in force everywhere");
			return ExitCode.OK;
		}
		outdated.forEach((line) -> System.out.println("not yet in force: " + line));
		return ExitCode.NOT_IN_FORCE;
	}

	private List<String> describeOutdated(long version) {
		List<String> outdated = new ArrayList<>();
		for (Address address : this.fleet.statusAddresses()) {
			Either<String, JsonNode> status = FleetOptions.getJson(address, "/status");
			long knownVersion = status.map((node) -> node.path("config_version").asLong()).getOrElse(-1L);
			if (knownVersion < version) {
				outdated.add(address + status.fold((error) -> " " + error,
						(node) -> " " + node.path("vm").asText() + " at version " + knownVersion));
			}
		}
		return outdated;
	}

}
