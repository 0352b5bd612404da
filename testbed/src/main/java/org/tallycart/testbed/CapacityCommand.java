package org.tallycart.testbed;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;

import org.tallycart.runtime.process.ExitCode;
import org.tallycart.steward.GossipSimulation;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Command {@code capacity}: measures the coefficients from which docs/CAPACITY.md is
 * derived.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
@Command(name = "capacity", mixinStandardHelpOptions = true,
		description = "Measure the slopes of docs/CAPACITY.md: spread, cores, processes.")
final class CapacityCommand implements Callable<Integer> {

	private static final long MILLIS_PER_SECOND = 1_000;

	@Option(names = "--part", defaultValue = "all", description = "all, spread, cores, stewards or entries.")
	private String part = "all";

	@Option(names = "--sizes", split = ",", defaultValue = "8,64,256,1000,2000",
			description = "Stewards in the spread's runs. Default: ${DEFAULT-VALUE}")
	private List<Integer> sizes = List.of();

	@Option(names = "--workspaces", defaultValue = "11000",
			description = "Workspaces declared. Default: ${DEFAULT-VALUE}")
	private int workspaces;

	@Option(names = "--loss-percent", defaultValue = "0", description = "Messages lost. Default: ${DEFAULT-VALUE}")
	private int lossPercent;

	@Option(names = "--settle-s", defaultValue = "60",
			description = "Seconds before stewards at rest are measured. Default: ${DEFAULT-VALUE}")
	private int settleS;

	@Override
	public Integer call() throws IOException {
		if (isSelected("spread")) {
			simulateGossip();
		}
		if (isSelected("cores")) {
			CoreBenchmark.print(System.out);
		}
		if (isSelected("stewards")) {
			ProcessBenchmark.measureStewards(System.out, this.settleS * MILLIS_PER_SECOND);
		}
		if (isSelected("entries")) {
			ProcessBenchmark.measureEntries(System.out);
		}
		return ExitCode.OK;
	}

	private boolean isSelected(String name) {
		return this.part.equals("all") || this.part.equals(name);
	}

	private void simulateGossip() {
		System.out.printf("%-9s %-10s %9s %8s %8s %8s %10s %10s %10s %10s%n", "stewards", "workspaces", "spread-ms",
				"msg/s", "bytes/s", "cpu-%", "msg/change", "B/change", "list-B", "config-B");
		for (int size : this.sizes) {
			GossipSimulation.Result result = GossipSimulation.measure(size, this.workspaces, this.lossPercent);
			System.out.printf("%-9d %-10d %9d %8.2f %8.0f %8.3f %10.1f %10.0f %10d %10d%n", result.size(),
					result.workspaces(), result.propagationMs(), result.messagesPerSecond(), result.bytesPerSecond(),
					result.cpuPercent(), result.messagesPerChange(), result.bytesPerChange(), result.listBytes(),
					result.configBytes());
		}
	}

}
