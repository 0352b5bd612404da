package org.tallycart.integration.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Soak test of processes under seeded faults. Guarantees are checked during the faults
 * and after all are cleared.
 * <p>
 * {@code -Dsoak.first=N -Dsoak.seeds=M} selects the seeds, {@code -Dsoak.vms=N} the
 * number of VMs. Logs are written to {@code target/soak}; the violations of a run that
 * fails, or that an exception ends, are kept there beside those of later runs.
 */
public class SoakTests {

	/** Seeds of earlier failures, run in every build. */
	private static final long[] REGRESSIONS = {
			// A dropped watch hung at the VM that reads the store; see ObjectFeedTests.
			112 };

	private static final int DEFAULT_SEEDS = 2;

	private static final int DEFAULT_VMS = 3;

	private static final long FAULTS_MS = 6_000;

	/** Timeout for all VMs to serve after the last fault is cleared. */
	private static final long RECOVERY_MS = 12_000;

	/** Time without faults after which all VMs are expected to be connected. */
	private static final long SETTLE_MS = 3_000;

	/** Timeout for a version to become active on every VM. */
	private static final long ACTIVATION_MS = 2_000;

	/** Time after which a draining upstream must receive no new requests. */
	private static final long DRAIN_MS = 2_000;

	private static final int CALLS = 10;

	/** Limit stated by an upstream, in requests per second. */
	private static final int LIMIT = 2;

	private static final long LIMIT_WINDOW_MS = 4_000;

	/** Backoff requested by an upstream. */
	private static final long BACKOFF_MS = 8_000;

	private static final long BACKOFF_GRACE_MS = 500;

	private static final long BACKOFF_WINDOW_MS = 2_000;

	/** Delay until an upstream that states that it is draining stops. */
	private static final long STOP_DELAY_MS = 9_000;

	/** Number of copies sent of a request that crashes upstreams. */
	private static final int COPIES = 10;

	private static final int COPY_INTERVAL_MS = 600;

	/** Number of crashes after which a request must be quarantined. */
	private static final int CRASHES_TO_QUARANTINE = 3;

	private static final int MAX_LATE_CRASHES = 3;

	/** Number of crashes after which a part of prompts must be quarantined. */
	private static final int CRASHES_OF_PART = 5;

	/** Index of the first part that is used after all faults are cleared. */
	private static final int FIRST_CALM_PART = 2;

	private static final int CALM_PARTS = 2;

	private static final int UNEVEN_CALLS = 60;

	private static final double UNEVEN_SHARE = 0.95;

	/** Streams that are under way at each VM when the engines fall silent. */
	private static final int STREAMS_PER_VM = 4;

	private static final int STREAMS_IN_SERIES = 3;

	/** Less than the duration of a stream, divided by the streams per VM. */
	private static final long STREAM_INTERVAL_MS = 60;

	private static final long SILENCE_MS = 1_200;

	@DataProvider
	static Object[][] seeds() {
		long first = Long.getLong("soak.first", 1);
		long count = Long.getLong("soak.seeds", DEFAULT_SEEDS);
		return LongStream.concat(LongStream.of(REGRESSIONS), LongStream.range(first, first + count))
			.distinct()
			.mapToObj((seed) -> new Object[] { seed })
			.toArray(Object[][]::new);
	}

	@Test(dataProvider = "seeds")
	void guaranteesHoldUnderFaults(long seed) throws Exception {
		Violations violations = new Violations();
		int vms = Integer.getInteger("soak.vms", DEFAULT_VMS);
		Path folder = Path.of("target", "soak", "seed-" + seed);
		try (SoakFleet fleet = new SoakFleet(folder, vms);
				SoakFaults faults = new SoakFaults(fleet, violations, seed)) {
			for (SoakNode node : fleet.nodes()) {
				if (!awaitCondition(RECOVERY_MS, () -> isServing(fleet, node, violations))) {
					violations.add(node.incarnation() + " does not serve after its start");
				}
			}
			try (SoakCallers callers = new SoakCallers(fleet, violations, seed)) {
				faults.run(FAULTS_MS);
				// A part may crash five engines before it is known, and comes seldom.
				fleet.stopCrashingParts();
				violations.note("all faults are cleared");
				SoakCallers.pause(SETTLE_MS);
				checkRecovery(fleet, callers, violations, "recovered");
				checkLimit(fleet, "plain", violations);
				checkLimit(fleet, "engine", violations);
				checkBackoff(fleet, callers, violations);
				checkStatedDraining(fleet, violations);
				checkCrashing(fleet, callers, violations);
				checkCrashingParts(fleet, callers, violations);
				checkUnevenConnections(fleet, callers, violations);
				checkConfiguration(fleet, callers, violations);
				checkRollback(fleet, callers, violations);
				checkListedDraining(fleet, callers, violations);
				callers.stop();
				checkSilences(fleet, callers, violations);
				callers.checkRuns();
				violations.note("resumed streams: " + callers.resumptions());
			}
		}
		catch (Exception ex) {
			violations.addException("the test was", ex);
		}
		Files.createDirectories(folder);
		Files.writeString(folder.resolve("notes.txt"), violations.toString());
		if (!violations.isEmpty()) {
			Files.writeString(folder.resolve("failed-" + System.currentTimeMillis() + ".txt"), violations.toString());
		}
		assertTrue(violations.isEmpty(), "seed " + seed + ", logs in " + folder + ":\n" + violations);
	}

	private static boolean isServing(SoakFleet fleet, SoakNode node, Violations violations) {
		try (SoakCallers probe = SoakCallers.idle(fleet, violations)) {
			return probe.status(node, "/plain/x", "begin") == 200;
		}
	}

	private static void checkRecovery(SoakFleet fleet, SoakCallers callers, Violations violations, String idPrefix) {
		for (SoakNode node : fleet.nodes()) {
			for (String path : new String[] { "/plain/x", "/once/x", "/stream/x" }) {
				String name = idPrefix + path.charAt(1) + node.vm() + "-";
				int[] attempt = new int[1];
				boolean served = awaitCondition(RECOVERY_MS,
						() -> callers.countServed(node, path, CALLS, name + attempt[0]++ + "-") == CALLS);
				if (!served) {
					violations.add(node.incarnation() + " does not serve " + path + " after all faults are cleared");
				}
			}
		}
	}

	// The arrival rate at an upstream exceeds its stated limit by no more than the
	// tolerance, although one of the VMs restarts.
	private static void checkLimit(SoakFleet fleet, String service, Violations violations) throws IOException {
		String id = firstActive(fleet, service);
		fleet.upstream(id).stateLimit(String.valueOf(LIMIT));
		long fromMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + SETTLE_MS;
		SoakCallers.pause(SETTLE_MS);
		SoakNode node = fleet.nodes().get(0);
		node.process().kill();
		SoakCallers.pause(LIMIT_WINDOW_MS / 4);
		node.restart();
		SoakCallers.pause(LIMIT_WINDOW_MS * 3 / 4);
		fleet.upstream(id).clearLimit();
		int maxArrivals = fleet.upstream(id).maxArrivals(LIMIT_WINDOW_MS, fromMs);
		if (maxArrivals > 1.5 * LIMIT * LIMIT_WINDOW_MS / 1_000 + 5) {
			violations.add(id + " stated a limit of " + LIMIT + " per second and got " + maxArrivals + " in "
					+ LIMIT_WINDOW_MS + " ms");
		}
	}

	// Each VM sends at most two requests to an upstream during a requested backoff.
	private static void checkBackoff(SoakFleet fleet, SoakCallers callers, Violations violations) {
		List<String> ids = Stream.of("plain", "engine").map((service) -> firstActive(fleet, service)).toList();
		ids.forEach((id) -> fleet.upstream(id).startBackoff(String.valueOf(BACKOFF_MS / 1_000)));
		for (SoakNode node : fleet.nodes()) {
			callers.countServed(node, "/plain/x", CALLS, "rest-plain" + node.vm() + "-");
			callers.countServed(node, "/stream/x", CALLS, "rest-stream" + node.vm() + "-");
		}
		SoakCallers.pause(BACKOFF_GRACE_MS);
		Map<String, Integer> counts = countArrivals(fleet, ids, BACKOFF_WINDOW_MS);
		ids.forEach((id) -> fleet.upstream(id).endBackoff());
		counts.forEach((id, count) -> {
			if (count > 2 * fleet.nodes().size()) {
				violations.add(id + " requested a backoff and got " + count + " in " + BACKOFF_WINDOW_MS + " ms");
			}
		});
	}

	// An upstream that states in its replies that it is draining gets no new requests,
	// even if the store is unavailable and its entry is unchanged.
	private static void checkStatedDraining(SoakFleet fleet, Violations violations) {
		List<String> ids = Stream.of("plain", "engine", "pool").map((service) -> firstActive(fleet, service)).toList();
		fleet.store().setDown(true);
		ids.forEach((id) -> fleet.drain(id, STOP_DELAY_MS));
		SoakCallers.pause(SETTLE_MS + 2 * DRAIN_MS);
		Map<String, Long> late = new HashMap<>();
		ids.forEach((id) -> late.put(id, fleet.upstream(id).arrivalsAfterDraining(DRAIN_MS)));
		fleet.store().setDown(false);
		SoakCallers.pause(SETTLE_MS);
		late.forEach((id, count) -> {
			if (count > 0) {
				violations.add(id + " stated that it is draining and got " + count + " requests later than " + DRAIN_MS
						+ " ms after its first reply that did");
			}
		});
	}

	// Returns the number of requests and calls received by each upstream within a time.
	private static Map<String, Integer> countArrivals(SoakFleet fleet, List<String> ids, long windowMs) {
		Map<String, Integer> before = new HashMap<>();
		ids.forEach((id) -> before.put(id, fleet.upstream(id).arrivalsMs().size()));
		SoakCallers.pause(windowMs);
		Map<String, Integer> counts = new HashMap<>();
		ids.forEach((id) -> counts.put(id, fleet.upstream(id).arrivalsMs().size() - before.get(id)));
		return counts;
	}

	private static String firstActive(SoakFleet fleet, String service) {
		return fleet.upstreamIds()
			.stream()
			.filter((id) -> id.startsWith("i-" + service) && fleet.isActive(id))
			.findFirst()
			.orElseThrow();
	}

	// A request that crashed three upstreams crashes at most three more after the settle
	// time, and the service recovers.
	private static void checkCrashing(SoakFleet fleet, SoakCallers callers, Violations violations) {
		int before = fleet.crashesMs().size();
		for (int i = 0; i < COPIES; i++) {
			SoakNode node = fleet.nodes().get(i % fleet.nodes().size());
			callers.countServed(node, "/stream/" + SoakFleet.CRASHING + "-calm", 1, "crashing" + i + "-");
			SoakCallers.pause(COPY_INTERVAL_MS);
		}
		List<Long> crashes = fleet.crashesMs().subList(before, fleet.crashesMs().size());
		if (crashes.size() < CRASHES_TO_QUARANTINE) {
			violations.add("a request that crashes upstreams crashed only " + crashes.size());
			return;
		}
		long late = crashes.stream().filter((at) -> at > crashes.get(CRASHES_TO_QUARANTINE - 1) + SETTLE_MS).count();
		if (late > MAX_LATE_CRASHES) {
			violations.add("a request that crashes upstreams crashed " + late + " later than " + SETTLE_MS
					+ " ms after the third, " + crashes.size() + " in all");
		}
		checkRecovery(fleet, callers, violations, "after-crashes");
	}

	// Requests with parts that crash engines reach engines at most three more times later
	// than the settle time after five crashes a part, and sound ones are served.
	private static void checkCrashingParts(SoakFleet fleet, SoakCallers callers, Violations violations) {
		int before = fleet.crashesMs().size();
		for (int i = 0; i < COPIES * CALM_PARTS; i++) {
			SoakNode node = fleet.nodes().get(i % fleet.nodes().size());
			String path = SoakCallers.crashingPartPath(FIRST_CALM_PART + i % CALM_PARTS, "calm" + i);
			callers.countServed(node, path, 1, "crashing-part" + i + "-");
			SoakCallers.pause(COPY_INTERVAL_MS / CALM_PARTS);
		}
		List<Long> crashes = fleet.crashesMs().subList(before, fleet.crashesMs().size());
		int known = CRASHES_OF_PART * CALM_PARTS;
		if (crashes.size() < CRASHES_OF_PART) {
			violations.add("parts that crash upstreams crashed only " + crashes.size());
			return;
		}
		long late = (crashes.size() <= known) ? 0
				: crashes.stream().filter((at) -> at > crashes.get(known - 1) + SETTLE_MS).count();
		if (late > MAX_LATE_CRASHES) {
			violations.add("parts that crash upstreams crashed " + late + " later than " + SETTLE_MS
					+ " ms after the fifth of each, " + crashes.size() + " in all");
		}
		checkRecovery(fleet, callers, violations, "after-parts");
	}

	// A VM that gets all new connections of all callers serves them.
	private static void checkUnevenConnections(SoakFleet fleet, SoakCallers callers, Violations violations) {
		fleet.giveMostConnectionsTo(Optional.of(fleet.nodes().get(0)));
		SoakCallers.pause(SETTLE_MS);
		int served = callers.countServed(fleet.nodes().get(0), "/plain/x", UNEVEN_CALLS, "uneven-");
		fleet.giveMostConnectionsTo(Optional.empty());
		if (served < UNEVEN_SHARE * UNEVEN_CALLS) {
			violations.add("a VM with most new connections served " + served + " of " + UNEVEN_CALLS);
		}
	}

	private static void checkConfiguration(SoakFleet fleet, SoakCallers callers, Violations violations) {
		int version = fleet.changeConfig();
		SoakCallers.pause(ACTIVATION_MS);
		for (SoakNode node : fleet.nodes()) {
			int status = callers.status(node, "/v" + version + "/x", "new" + node.vm());
			int older = callers.status(node, "/v" + (version - 1) + "/x", "old" + node.vm());
			if (status != 200 || older != 404) {
				violations.add(node.incarnation() + " returns " + status + " by version " + version + " and " + older
						+ " by the one before");
			}
		}
	}

	// An active version stays active when the store is restored from a backup without it,
	// also before the operator writes it again.
	private static void checkRollback(SoakFleet fleet, SoakCallers callers, Violations violations) {
		fleet.store().saveBackup();
		int version = fleet.changeConfig();
		SoakCallers.pause(ACTIVATION_MS);
		fleet.store().restoreBackup();
		for (int round = 0; round < 2; round++) {
			SoakCallers.pause(ACTIVATION_MS / 2);
			for (SoakNode node : fleet.nodes()) {
				int status = callers.status(node, "/v" + version + "/x", "kept" + round + node.vm());
				if (status != 200) {
					violations.add(node.incarnation() + " returns " + status + " by version " + version
							+ " after the store was restored without it");
				}
			}
			fleet.rewriteObjects();
		}
	}

	private static void checkListedDraining(SoakFleet fleet, SoakCallers callers, Violations violations) {
		String draining = firstActive(fleet, "plain");
		fleet.publish(draining, "draining");
		SoakCallers.pause(DRAIN_MS);
		Map<String, Integer> before = fleet.upstream(draining).runCounts();
		fleet.nodes().forEach((node) -> callers.countServed(node, "/plain/x", CALLS, "leaving" + node.vm() + "-"));
		Map<String, Integer> after = fleet.upstream(draining).runCounts();
		after.keySet().removeAll(before.keySet());
		if (!after.isEmpty()) {
			violations
				.add(draining + " got " + after.size() + " requests after it was draining for " + DRAIN_MS + " ms");
		}
	}

	// Streams that are under way at all VMs are whole, although all engines are silent
	// for
	// a moment beside a change of the configuration.
	private static void checkSilences(SoakFleet fleet, SoakCallers callers, Violations violations) throws Exception {
		ExecutorService threads = Executors.newCachedThreadPool();
		List<Future<Integer>> pending = new ArrayList<>();
		for (int i = 0; i < STREAMS_PER_VM; i++) {
			for (SoakNode node : fleet.nodes()) {
				String name = "silence" + i + node.vm() + "-";
				pending.add(threads.submit(() -> callers.countServed(node, "/stream/x", STREAMS_IN_SERIES, name)));
			}
			SoakCallers.pause(STREAM_INTERVAL_MS);
		}
		List<String> engines = fleet.runningUpstreams("engine");
		fleet.changeConfig();
		fleet.beginSilence(engines);
		SoakCallers.pause(SILENCE_MS);
		fleet.endSilence(engines);
		int whole = 0;
		for (Future<Integer> each : pending) {
			whole += each.get();
		}
		threads.shutdown();
		int sent = pending.size() * STREAMS_IN_SERIES;
		if (whole < sent) {
			violations.add("only " + whole + " of " + sent + " streams are whole beside silent engines");
		}
	}

	private static boolean awaitCondition(long ms, BooleanSupplier condition) {
		long end = System.nanoTime() + ms * 1_000_000;
		while (System.nanoTime() < end) {
			if (condition.getAsBoolean()) {
				return true;
			}
			SoakCallers.pause(50);
		}
		return false;
	}

}
