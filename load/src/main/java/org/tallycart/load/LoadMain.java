package org.tallycart.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Callable;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.ini.Address;
import org.tallycart.core.ini.Problem;
import org.tallycart.runtime.process.DaemonCommand;
import org.tallycart.runtime.process.ExitCode;
import org.tallycart.runtime.process.VersionProvider;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Main class of {@code tallycart-load}: runs a scenario against entries and prints the
 * report.
 * <p>
 * Not thread-safe: used by the main thread.
 *
 * @since 0.1
 */
@Command(name = "tallycart-load", mixinStandardHelpOptions = true, versionProvider = VersionProvider.class,
		description = "Makes load in open loop, checks every answer, and reports attainment and cost by stage.",
		exitCodeListHeading = "%nExit codes:%n", exitCodeList = { "0:all answers were right",
				"1:some answer was wrong or another's", "2:wrong command line or scenario" })
public final class LoadMain implements Callable<Integer> {

	@Option(names = "--scenario", required = true, paramLabel = "FILE", description = "The scenario in INI.")
	private @Nullable Path scenario;

	@Option(names = "--entries", required = true, split = ",", paramLabel = "HOST:PORT",
			description = "Where requests go, at random.")
	private List<String> entries = new ArrayList<>();

	@Option(names = "--json", paramLabel = "FILE", description = "Write the report as JSON too.")
	private @Nullable Path json;

	@Option(names = "--check", description = "Check the scenario only.")
	private boolean check;

	/**
	 * Start the program.
	 * @param args the command-line arguments
	 */
	public static void main(String[] args) {
		System.exit(DaemonCommand.execute(new LoadMain(), args));
	}

	@Override
	public Integer call() throws IOException {
		Path file = Objects.requireNonNull(this.scenario);
		Either<List<Problem>, Scenario> parsed = Scenario.read(file.toString(), Files.readString(file));
		if (parsed.isLeft()) {
			parsed.getLeft().forEach((problem) -> System.err.println(problem));
			return ExitCode.USAGE;
		}
		List<Address> addresses = new ArrayList<>();
		for (String text : this.entries) {
			Either<String, Address> address = Address.parse(text);
			if (address.isLeft()) {
				System.err.println("--entries: '" + text + "' " + address.getLeft());
				return ExitCode.USAGE;
			}
			addresses.add(address.get());
		}
		if (this.check) {
			System.out.println(file + ": the scenario is good");
			return ExitCode.OK;
		}
		LoadTestReport report = LoadGenerator.run(parsed.get(), () -> addresses);
		System.out.print(report.toText());
		if (this.json != null) {
			Files.writeString(this.json, report.toJson().toPrettyString());
		}
		return (report.violationCount() > 0) ? ExitCode.FAILED : ExitCode.OK;
	}

}
