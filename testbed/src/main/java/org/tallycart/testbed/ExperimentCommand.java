package org.tallycart.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import org.jspecify.annotations.Nullable;
import org.tallycart.load.LoadGenerator;
import org.tallycart.load.LoadTestReport;
import org.tallycart.load.Scenario;
import org.tallycart.runtime.process.ExitCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Command {@code experiment}: runs cases of load and faults on one fleet of each size,
 * some of them with each balancer in turn.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
@Command(name = "experiment", mixinStandardHelpOptions = true,
		description = "Measure attainment and cost by stage under load and faults, beside baselines.")
final class ExperimentCommand implements Callable<Integer> {

	private static final List<String> WORKSPACES = List.of("chapinero-norte", "fontibon-plaza", "kennedy-central",
			"usaquen-mercado");

	private static final String DEFAULT_BALANCER = "least-load-aged";

	private static final List<String> BALANCERS = List.of(DEFAULT_BALANCER, "two-choices-aged", "two-choices",
			"least-in-flight", "round-robin");

	private static final String NO_FAULTS = "{\"slow_factor\":1,\"fail_percent\":0,\"hang\":false,\"report_lag_ms\":0}";

	/**
	 * Requests per second that saturate the engines' eight slots: 8 / (20 ms + 32 tokens
	 * of 5.25 ms).
	 */
	private static final double CAPACITY_PER_SECOND = 8 / 0.188;

	private static final long APPLY_DELAY_MS = 1_500;

	@Option(names = "--duration-s", defaultValue = "8", description = "Seconds of each run. Default: ${DEFAULT-VALUE}")
	private int durationS;

	@Option(names = "--vms", split = ",", defaultValue = "3", description = "Fleet sizes. Default: ${DEFAULT-VALUE}")
	private List<Integer> vms = List.of();

	@Option(names = "--only", defaultValue = "", description = "Only situations whose name begins so.")
	private String only = "";

	@Option(names = "--set", paramLabel = "PROGRAM.SECTION.KEY=VALUE",
			description = "A setting, such as entry.routing.overcommit=1.0; may be given several times.")
	private Map<String, String> settings = Map.of();

	@Option(names = "--json", paramLabel = "FILE", description = "Write all reports as JSON.")
	private @Nullable Path json;

	private final ArrayNode reports = new ObjectMapper().createArrayNode();

	@Override
	public Integer call() throws IOException {
		System.out.printf("%-4s %-26s %-17s %6s %9s %8s %6s %6s %7s %9s %7s%n", "VMs", "situation", "balancer", "load%",
				"attained", "goodput", "p50", "p99", "extra%", "abandon%", "wrong");
		for (int size : this.vms) {
			try (LocalFleet fleet = LocalFleet.start(createDefinition(size), this.settings)) {
				run(fleet, size, ExperimentCase.steady("warm-up", 60, mix()), DEFAULT_BALANCER, false);
				for (ExperimentCase experimentCase : cases()) {
					if (experimentCase.name().startsWith(this.only)) {
						runWithBalancers(fleet, size, experimentCase);
					}
				}
			}
		}
		if (this.json != null) {
			Files.writeString(this.json, this.reports.toPrettyString());
		}
		return ExitCode.OK;
	}

	private void runWithBalancers(LocalFleet fleet, int size, ExperimentCase experimentCase) throws IOException {
		boolean compareBalancers = experimentCase.name().startsWith("steady 90")
				|| experimentCase.name().startsWith("lag");
		for (String balancer : compareBalancers ? BALANCERS : List.of(DEFAULT_BALANCER)) {
			run(fleet, size, experimentCase, balancer, true);
		}
	}

	private void run(LocalFleet fleet, int size, ExperimentCase experimentCase, String balancer, boolean print)
			throws IOException {
		fleet.applyDeclarations(fleet.declarations().replace("kind = ", "balancer = " + balancer + "\nkind = "));
		Await.sleep(APPLY_DELAY_MS);
		experimentCase.injectFault().applyTo(fleet);
		long millis = this.durationS * 1_000L;
		Scenario scenario = new Scenario(CAPACITY_PER_SECOND * experimentCase.loadPercent() / 100, millis, 3,
				millis / 4, millis / 4, experimentCase.burstFactor(), 0, experimentCase.kinds());
		LoadTestReport report = LoadGenerator.run(scenario, fleet::entryAddresses);
		experimentCase.clearFault().applyTo(fleet);
		if (print) {
			print(size, experimentCase, balancer, report);
		}
	}

	private void print(int size, ExperimentCase experimentCase, String balancer, LoadTestReport report) {
		double useful = report.cost("useful");
		double extra = report.cost("retried") + report.cost("hedged");
		double abandoned = report.cost("abandoned");
		double total = Math.max(useful + extra + abandoned, 1);
		System.out.printf("%-4d %-26s %-17s %6d %8.2f%% %8.1f %6d %6d %6.2f%% %8.2f%% %7d%n", size,
				experimentCase.name(), balancer, experimentCase.loadPercent(), report.attainment() * 100,
				report.goodputPerSecond(), report.latencyPercentileMs(50), report.latencyPercentileMs(99),
				100 * extra / total, 100 * abandoned / total, report.violationCount());
		experimentCase.kinds().forEach((kind) -> {
			if (experimentCase.kinds().size() > 1) {
				System.out.printf("       %-44s %8.2f%%%n", kind.name(), report.attainment(kind.name()) * 100);
			}
		});
		this.reports.addObject()
			.put("vms", size)
			.put("situation", experimentCase.name())
			.put("balancer", balancer)
			.set("report", report.toJson());
	}

	private static FleetDefinition createDefinition(int size) {
		return FleetDefinition.bogota(size)
			.withServices(List.of(new ServiceDefinition("encode", "encode", 2, 4, 4, 0, 1, 0),
					new ServiceDefinition("retrieve", "retrieve", 2, 4, 6, 0, 1, 0),
					new ServiceDefinition("rerank", "rerank", 2, 4, 8, 0, 2, 0),
					new ServiceDefinition("generate", "generate", 4, 2, 20, 5, 2, 0.5),
					new ServiceDefinition("dispatch", "plain", 2, 4, 15, 0, 1, 0),
					new ServiceDefinition("catalogue", "plain", 1, 4, 10, 0, 1, 0),
					new ServiceDefinition("payment", "plain", 1, 4, 20, 0, 1, 0),
					new ServiceDefinition("portal", "plain", 1, 4, 10, 0, 1, 0)));
	}

	private static Scenario.RequestKind kind(String name, double weight, List<String> workspaces, long deadlineMs,
			int minTokens, int maxTokens) {
		return new Scenario.RequestKind(name, weight, "assistant", workspaces, "shopper", deadlineMs, minTokens,
				maxTokens, true, true, 0);
	}

	private static List<Scenario.RequestKind> mix() {
		return List.of(kind("question", 1, WORKSPACES, 1_500, 16, 48));
	}

	private List<ExperimentCase> cases() {
		List<ExperimentCase> cases = new ArrayList<>();
		for (int load : new int[] { 60, 90, 100, 120 }) {
			cases.add(ExperimentCase.steady("steady " + load, load, mix()));
		}
		cases.add(new ExperimentCase("burst of 5", 60, 5, mix(), ExperimentCase.NO_ACTION, ExperimentCase.NO_ACTION));
		cases.add(ExperimentCase.steady("after the burst", 60, mix()));
		for (String stage : List.of("encode", "rerank", "generate")) {
			cases.add(ExperimentCase.fault("straggler in " + stage, mix(), stage + "-1", "{\"slow_factor\":10}",
					NO_FAULTS));
		}
		cases.add(ExperimentCase.fault("rerank fails 20%", mix(), "rerank", "{\"fail_percent\":20}", NO_FAULTS));
		cases.add(ExperimentCase.fault("retrieve-1 never answers", mix(), "retrieve-1", "{\"hang\":true}", NO_FAULTS));
		cases.add(ExperimentCase.fault("lag of reports 5 s", mix(), "generate", "{\"report_lag_ms\":5000}", NO_FAULTS));
		cases
			.add(ExperimentCase.steady("one workspace floods", 150, List.of(kind("quiet", 1, WORKSPACES, 1_500, 16, 48),
					kind("flood", 2, List.of("suba-express"), 1_500, 16, 48))));
		cases.add(ExperimentCase.steady("long beside short", 100,
				List.of(kind("short", 6, WORKSPACES, 1_000, 4, 12), kind("long", 1, WORKSPACES, 20_000, 120, 160))));
		cases.add(new ExperimentCase("entry killed", 60, 1, mix(), (fleet) -> killDuringLoad(fleet, 0),
				(fleet) -> fleet.restartEntry(0)));
		return cases;
	}

	private static void killDuringLoad(LocalFleet fleet, int number) {
		new Thread(() -> {
			Await.sleep(2_000);
			fleet.vm(number).entry().kill();
			Await.sleep(500);
			fleet.vm(number).setInBalancer(false);
		}, "killer").start();
	}

}
