package org.tallycart.testbed;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;

import org.tallycart.core.ini.Problem;
import org.tallycart.ctl.TallyctlMain;
import org.tallycart.load.CallerClient;
import org.tallycart.load.LoadGenerator;
import org.tallycart.load.LoadTestReport;
import org.tallycart.load.ReceivedResponse;
import org.tallycart.load.Scenario;
import org.tallycart.load.Submission;
import org.tallycart.runtime.process.ExitCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Command {@code demo}: runs the fleets of both deployments on stand-ins under their
 * scenarios, and prints the reports and the time line of one request.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
@Command(name = "demo", mixinStandardHelpOptions = true,
		description = "Run both deployments' fleets on stand-ins and report attainment and cost by stage.")
final class DemoCommand implements Callable<Integer> {

	@Option(names = "--vms", defaultValue = "6", description = "VMs of each fleet. Default: ${DEFAULT-VALUE}")
	private int vms;

	@Option(names = "--duration-s", defaultValue = "10", description = "Seconds of load. Default: ${DEFAULT-VALUE}")
	private int durationS;

	@Override
	public Integer call() throws IOException {
		int wrong = run(FleetDefinition.bogota(this.vms), "assistant") + run(FleetDefinition.tunis(this.vms), "gloss");
		return (wrong != 0) ? ExitCode.FAILED : ExitCode.OK;
	}

	private int run(FleetDefinition definition, String pipeline) throws IOException {
		System.out.println(
				"== " + definition.name() + ": " + definition.vms() + " VMs, failure domains " + definition.domains());
		try (LocalFleet fleet = LocalFleet.start(definition)) {
			Scenario scenario = readScenario(definition.name()).withDuration(this.durationS * 1_000L);
			LoadTestReport report = LoadGenerator.run(scenario, fleet::entryAddresses);
			System.out.print(report.toText());
			String workspace = scenario.mix().get(0).workspaces().get(0);
			ReceivedResponse response = CallerClient.submit(fleet.entryAddresses().get(0),
					Submission.builder(pipeline, workspace, "one").maxTokens(4).stream(true).build());
			System.out
				.println("One request: " + response.outcome() + " '" + response.output().strip() + "'. Its time line:");
			TallyctlMain.execute("timeline", "--fleet", fleet.statusAddresses(), "--request", response.requestId());
			return report.violationCount();
		}
	}

	static Scenario readScenario(String name) throws IOException {
		String file = "/scenarios/" + name + ".ini";
		try (InputStream in = DemoCommand.class.getResourceAsStream(file)) {
			if (in == null) {
				throw new IOException("scenario not found on the class path: " + file);
			}
			return Scenario.read(file, new String(in.readAllBytes(), StandardCharsets.UTF_8))
				.getOrElseThrow((problems) -> new IllegalStateException(join(problems)));
		}
	}

	private static String join(List<Problem> problems) {
		return String.join("; ", problems.stream().map(Problem::toString).toList());
	}

}
