package org.tallycart.integration.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests with processes and sound upstreams that fall silent for a second and go on.
 */
public class SilentUpstreamTests {

	private static final int VMS = 3;

	private static final long SILENCE_MS = 1_000;

	private static final int REQUESTS = 60;

	private static final int PAUSE_MS = 100;

	private static final int START_ATTEMPTS = 200;

	private static final List<String> PATHS = List.of("/plain/x", "/once/x", "/stream/x");

	// Guards against requests that fail, or links that count as lost, since one upstream
	// pauses.
	@Test
	void aSecondOfSilenceFailsNoRequest() throws Exception {
		Violations violations = new Violations();
		Path folder = Path.of("target", "silent-upstreams");
		try (SoakFleet fleet = new SoakFleet(folder, VMS); SoakCallers callers = SoakCallers.idle(fleet, violations)) {
			fleet.nodes().forEach((node) -> awaitServing(callers, node));
			List<Integer> served = callWhileUpstreamsPause(fleet, callers);
			callers.checkRuns();
			assertTrue(served.stream().allMatch((count) -> count == REQUESTS), served + " of " + REQUESTS);
			assertTrue(violations.isEmpty(), violations.toString());
		}
		try (Stream<Path> logs = Files.list(folder)) {
			for (Path log : logs.filter((file) -> file.toString().endsWith(".log")).toList()) {
				assertFalse(Files.readString(log).contains("UPSTREAM_LINKS_LOST"), log.toString());
			}
		}
	}

	private static void awaitServing(SoakCallers callers, SoakNode node) {
		int attempts = 0;
		while (callers.countServed(node, "/stream/x", 1, node.vm() + "-start" + attempts) == 0) {
			attempts++;
			assertTrue(attempts < START_ATTEMPTS, node.vm() + " does not serve");
			SoakCallers.pause(PAUSE_MS);
		}
	}

	// Returns the number of requests that were served at each VM.
	private static List<Integer> callWhileUpstreamsPause(SoakFleet fleet, SoakCallers callers) throws Exception {
		ExecutorService threads = Executors.newFixedThreadPool(VMS);
		try {
			List<Future<Integer>> pending = new ArrayList<>();
			for (SoakNode node : fleet.nodes()) {
				pending.add(threads.submit(() -> call(callers, node)));
			}
			for (String id : fleet.upstreamIds()) {
				fleet.upstreamPath(id).towardsCaller().setFrozen(true);
				SoakCallers.pause(SILENCE_MS);
				fleet.upstreamPath(id).towardsCaller().setFrozen(false);
			}
			List<Integer> served = new ArrayList<>();
			for (Future<Integer> each : pending) {
				served.add(each.get());
			}
			return served;
		}
		finally {
			threads.shutdown();
		}
	}

	private static int call(SoakCallers callers, SoakNode node) {
		int served = 0;
		for (int i = 0; i < REQUESTS; i++) {
			served += callers.countServed(node, PATHS.get(i % PATHS.size()), 1, node.vm() + "-" + i + "-");
			SoakCallers.pause(PAUSE_MS);
		}
		return served;
	}

}
