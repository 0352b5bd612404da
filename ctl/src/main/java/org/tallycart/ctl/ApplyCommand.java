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
 * Applies declarations: accepted, refused, in conflict, not applied, or, if the
 * platform's service stays silent, unknown with the command to run next.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
@Command(name = "apply", mixinStandardHelpOptions = true, description = "Apply a directory of declarations.")
final class ApplyCommand implements Callable<Integer> {

	private static final long POLL_MS = 100;

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
		long version = (this.base >= 0) ? this.base : DeclarationDirectory.baseVersion(this.directory);
		String change = Generators.timeBasedEpochGenerator().generate().toString();
		ApplyResult result = this.fleet.config().apply(mine.get(), version, change, this.author.replace('\t', ' '));
		boolean inForce = result.status() == ApplyResult.Status.ACCEPTED
				|| result.status() == ApplyResult.Status.UNCHANGED;
		if (inForce) {
			DeclarationDirectory.baseVersion(this.directory, result.version());
		}
		int code = (inForce && this.quiet) ? ExitCode.OK : this.output.result(result, exitCode(result.status()));
		return (inForce && this.wait) ? await(result.version()) : code;
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

	private int await(long version) throws InterruptedException {
		long untilNs = System.nanoTime() + this.timeoutS * 1_000_000_000L;
		List<String> behind = behind(version);
		while (!behind.isEmpty() && System.nanoTime() < untilNs) {
			Thread.sleep(POLL_MS);
			behind = behind(version);
		}
		if (behind.isEmpty()) {
			System.out.println("in force everywhere");
			return ExitCode.OK;
		}
		behind.forEach((line) -> System.out.println("not yet in force: " + line));
		return ExitCode.NOT_IN_FORCE;
	}

	private List<String> behind(long version) {
		List<String> behind = new ArrayList<>();
		for (Address address : this.fleet.fleet()) {
			Either<String, JsonNode> status = FleetOptions.get(address, "/status");
			long known = status.map((node) -> node.path("config_version").asLong()).getOrElse(-1L);
			if (known < version) {
				behind.add(address + status.fold((error) -> " " + error,
						(node) -> " " + node.path("vm").asText() + " at version " + known));
			}
		}
		return behind;
	}

}
