package org.tallycart.testbed;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.tallycart.core.ini.Address;
import org.tallycart.load.LoadGenerator;
import org.tallycart.load.LoadTestReport;
import org.tallycart.load.Scenario;

/**
 * Benchmark of real processes: an idle steward in fleets of several sizes, and an entry
 * under load.
 * <p>
 * Thread-safe: stateless.
 *
 * @since 0.1
 */
final class ProcessBenchmark {

	private static final long WINDOW_MS = 10_000;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long NANOS_PER_MS = 1_000_000;

	private static final double BYTES_PER_MIB = 1 << 20;

	private ProcessBenchmark() {
	}

	static void measureStewards(PrintStream out, long settleMs) throws IOException {
		out.println(
				"stewards at rest: VMs, cpu %, resident MB, heap MB, peer messages in/s, bytes in/s, platform reads/s by all");
		for (int vms : new int[] { 2, 4, 8 }) {
			measureSteward(out, vms, settleMs);
		}
	}

	static void measureEntries(PrintStream out) throws IOException {
		out.println("one entry under load: requests/s, tokens/s, cpu % of a core, resident MB");
		for (double rate : new double[] { 0.1, 40, 80 }) {
			measureEntry(out, "dispatch", rate, 1, false);
		}
		for (int tokens : new int[] { 8, 64, 192 }) {
			measureEntry(out, "assistant", 20, tokens, true);
		}
	}

	private static JsonNode readMetrics(ManagedProcess process) {
		return ProcessHttp.get(process.address("status"), "/metrics");
	}

	private static double perSecond(JsonNode before, JsonNode after, String name) {
		double millis = after.path("process.uptime_ms").asDouble() - before.path("process.uptime_ms").asDouble();
		return (after.path(name).asDouble() - before.path(name).asDouble()) * 1_000 / millis;
	}

	private static long platformReads(Address platform) {
		JsonNode counts = ProcessHttp.get(platform, "/admin/counts");
		return counts.path("read").asLong() + counts.path("vm-list").asLong();
	}

	private static void measureSteward(PrintStream out, int vms, long settleMs) throws IOException {
		Map<String, String> defaultSettings = Map.of("steward.peer.heartbeat-interval", "1s",
				"steward.platform.poll-interval", "1s", "steward.platform.watch-wait", "5s");
		try (LocalFleet fleet = LocalFleet.start(FleetDefinition.bogota(vms), defaultSettings, List.of())) {
			Await.sleep(settleMs);
			JsonNode before = readMetrics(fleet.vm(0).steward());
			long readsBefore = platformReads(fleet.platformAddress());
			Await.sleep(WINDOW_MS);
			JsonNode after = readMetrics(fleet.vm(0).steward());
			double reads = (platformReads(fleet.platformAddress()) - readsBefore) * 1_000.0 / WINDOW_MS;
			out.printf("%4d %8.2f %8.1f %8.1f %8.2f %8.0f %8.2f%n", vms,
					perSecond(before, after, "process.cpu_ns") / NANOS_PER_SECOND * 100,
					after.path("process.resident_bytes").asDouble() / BYTES_PER_MIB,
					after.path("process.heap_used_bytes").asDouble() / BYTES_PER_MIB,
					perSecond(before, after, "wire.messages_in"), perSecond(before, after, "wire.bytes_in"), reads);
		}
	}

	private static void measureEntry(PrintStream out, String pipeline, double rate, int tokens, boolean repeatable)
			throws IOException {
		Scenario.RequestKind kind = new Scenario.RequestKind("k", 1, pipeline, List.of("suba-express"), "", 10_000,
				tokens, tokens, repeatable, repeatable, 0);
		try (LocalFleet fleet = LocalFleet.start(FleetDefinition.bogota(1), Map.of(), List.of())) {
			LoadGenerator.run(new Scenario(Math.max(rate, 40), 6_000, 1, 0, 0, 1, 0, List.of(kind)),
					fleet::entryAddresses);
			JsonNode before = readMetrics(fleet.vm(0).entry());
			long startNs = System.nanoTime();
			LoadTestReport report = LoadGenerator.run(new Scenario(rate, WINDOW_MS, 2, 0, 0, 1, 0, List.of(kind)),
					fleet::entryAddresses);
			// The run can end before the window does; the rates are per window.
			Await.sleep(WINDOW_MS - (System.nanoTime() - startNs) / NANOS_PER_MS);
			JsonNode after = readMetrics(fleet.vm(0).entry());
			double perSecond = report.requestCount() * 1_000.0 / WINDOW_MS;
			out.printf("%-10s %7.1f %8.0f %8.2f %8.1f   attainment %.4f p50 %d ms%n", pipeline, perSecond,
					repeatable ? perSecond * tokens : 0,
					perSecond(before, after, "process.cpu_ns") / NANOS_PER_SECOND * 100,
					after.path("process.resident_bytes").asDouble() / BYTES_PER_MIB, report.attainment(),
					report.latencyPercentileMs(50));
		}
	}

}
