package org.tallycart.integration.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Tests with processes and services that fall silent again and again while callers send
 * requests of all kinds, the configuration changes, and VMs stop or are killed.
 * <p>
 * {@code -Dsilence.all=true} runs all combinations, which takes some minutes.
 */
public class SilentServiceTests {

	private static final int VMS = 3;

	private static final int CALLERS = 30;

	private static final int MIN_SILENCES = 6;

	private static final long SILENCE_MS = 1_200;

	/**
	 * Least time between silences. Longer than a stream, so that streams which outlast a
	 * silence do not all end just before the next one.
	 */
	private static final long GAP_MS = 450;

	private static final long GAP_STEP_MS = 110;

	private static final int GAP_STEPS = 4;

	/** Time after which a VM has read its settings again. */
	private static final long SETTINGS_MS = 2_500;

	private static final long DOWN_MS = 1_000;

	private static final long RECOVERY_MS = 12_000;

	private static final int PAUSE_MS = 100;

	/** A whole answer, refusals, a lost answer, and a deadline that has passed. */
	private static final Set<Integer> STATUSES = Set.of(200, 408, 421, 429, 503, 502, 504);

	/** Upstreams that are silent. */
	private enum Silent {

		ALL_ENGINES, SOME_ENGINES, STAGE_WORKERS, ENGINES_AND_STAGE_WORKERS;

		private List<String> select(SoakFleet fleet) {
			List<String> engines = fleet.runningUpstreams("engine");
			List<String> workers = fleet.runningUpstreams("pool");
			return switch (this) {
				case ALL_ENGINES -> engines;
				case SOME_ENGINES -> engines.subList(1, engines.size());
				case STAGE_WORKERS -> workers;
				case ENGINES_AND_STAGE_WORKERS -> Stream.concat(engines.stream(), workers.stream()).toList();
			};
		}

	}

	/** What happens to VMs beside the silences. */
	private enum VmEvents {

		NONE, EACH_STOPS, ONE_IS_KILLED

	}

	@DataProvider
	static Object[][] silences() {
		if (!Boolean.getBoolean("silence.all")) {
			return new Object[][] { { Silent.ALL_ENGINES, VmEvents.NONE },
					{ Silent.ENGINES_AND_STAGE_WORKERS, VmEvents.EACH_STOPS },
					{ Silent.SOME_ENGINES, VmEvents.ONE_IS_KILLED } };
		}
		return Stream.of(Silent.values())
			.flatMap((silent) -> Stream.of(VmEvents.values()).map((events) -> new Object[] { silent, events }))
			.toArray(Object[][]::new);
	}

	// Guards against requests that are read and get neither a whole answer nor a true
	// status, since upstreams are silent while the configuration changes or VMs end, and
	// few retries are allowed.
	@Test(dataProvider = "silences")
	void eachRequestIsAnsweredWhole(Silent silent, VmEvents events) throws Exception {
		Violations violations = new Violations();
		Path folder = Path.of("target", "silent-services", silent + "-" + events);
		deleteLogs(folder);
		UnansweredRequestRules rules = new UnansweredRequestRules();
		ExecutorService thread = Executors.newSingleThreadExecutor();
		try (SoakFleet fleet = new SoakFleet(folder, VMS); SoakCallers probe = SoakCallers.idle(fleet, violations)) {
			for (SoakNode node : fleet.nodes()) {
				node.writeSettings(0);
				awaitServing(probe, node, "/stream/x", "start");
			}
			SoakCallers.pause(SETTINGS_MS);
			try (SoakCallers callers = SoakCallers.sound(fleet, violations, CALLERS)) {
				Future<?> vmEvents = thread.submit(() -> play(events, fleet, probe, rules, violations));
				for (int i = 0; i < MIN_SILENCES || !vmEvents.isDone(); i++) {
					playSilence(fleet, silent.select(fleet), violations);
					SoakCallers.pause(GAP_MS + i % GAP_STEPS * GAP_STEP_MS);
				}
				vmEvents.get();
				fleet.nodes().forEach((node) -> awaitServing(probe, node, "/stream/x", "end"));
				callers.stop();
				callers.checkRuns();
				check(fleet, callers, rules, readLogs(folder), violations);
			}
		}
		catch (Exception ex) {
			violations.addException("the test was", ex);
		}
		finally {
			thread.shutdownNow();
		}
		Files.writeString(folder.resolve("notes.txt"), violations.toString());
		assertTrue(violations.isEmpty(), "logs in " + folder + ":\n" + violations);
	}

	private static void playSilence(SoakFleet fleet, List<String> silent, Violations violations) {
		violations.note("silence, version " + fleet.changeConfig());
		fleet.beginSilence(silent);
		SoakCallers.pause(SILENCE_MS / 2);
		violations.note("version " + fleet.changeConfig());
		SoakCallers.pause(SILENCE_MS / 2);
		fleet.endSilence(silent);
	}

	private static Void play(VmEvents events, SoakFleet fleet, SoakCallers probe, UnansweredRequestRules rules,
			Violations violations) throws IOException {
		if (events == VmEvents.ONE_IS_KILLED) {
			SoakNode node = fleet.nodes().get(0);
			SoakCallers.pause(SILENCE_MS / 2);
			violations.note("kill " + node.incarnation());
			rules.kill(node);
			SoakCallers.pause(DOWN_MS);
			node.restart();
			awaitServing(probe, node, "/plain/x", "back");
		}
		if (events == VmEvents.EACH_STOPS) {
			for (SoakNode node : fleet.nodes()) {
				violations.note("stop " + node.incarnation());
				rules.stop(node);
				assertTrue(node.process().awaitExit(), node.vm() + " does not exit");
				violations.note("exit " + node.incarnation());
				node.restart();
				awaitServing(probe, node, "/plain/x", "back");
			}
		}
		return null;
	}

	private static void awaitServing(SoakCallers probe, SoakNode node, String path, String name) {
		long endMs = UnansweredRequestRules.nowMs() + RECOVERY_MS;
		int attempts = 0;
		while (probe.countServed(node, path, 1, name + node.vm() + "-" + attempts + "-") == 0) {
			assertTrue(UnansweredRequestRules.nowMs() < endMs, node.vm() + " does not serve " + path);
			attempts++;
			SoakCallers.pause(PAUSE_MS);
		}
	}

	private static void check(SoakFleet fleet, SoakCallers callers, UnansweredRequestRules rules, String logs,
			Violations violations) {
		callers.unanswered()
			.forEach((request) -> rules
				.problem(request, (id) -> fleet.runCount(id) > 0 || logs.contains("request=" + id + " "))
				.ifPresent(violations::add));
		callers.statuses().forEach((status, count) -> {
			if (!STATUSES.contains(status)) {
				violations.add(count + " responses with status " + status);
			}
		});
		if (callers.statuses().getOrDefault(200, 0) == 0) {
			violations.add("no request is served");
		}
		violations.note("statuses " + callers.statuses() + ", unanswered " + callers.unanswered().size()
				+ ", resumed streams " + callers.resumptions());
	}

	// Logs of an earlier run may have the same request IDs.
	private static void deleteLogs(Path folder) throws IOException {
		for (Path log : logs(folder)) {
			Files.delete(log);
		}
	}

	private static String readLogs(Path folder) throws IOException {
		StringBuilder all = new StringBuilder();
		for (Path log : logs(folder)) {
			all.append(Files.readString(log));
		}
		return all.toString();
	}

	private static List<Path> logs(Path folder) throws IOException {
		Files.createDirectories(folder);
		try (Stream<Path> files = Files.list(folder)) {
			return files.filter((file) -> file.toString().endsWith(".log")).toList();
		}
	}

}
