package org.tallycart.integration.soak;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.tallycart.standin.FaultProxy;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Tests with processes, some of which lose their links to all upstreams while callers,
 * the store and the other VMs still reach them.
 */
public class LostLinksTests {

	private static final int VMS = 6;

	/** Time after which VMs that have lost their links must serve again. */
	private static final long CONTACT_MS = 3_000;

	private static final long MEASURED_MS = 4_000;

	/** Time in which the other VMs restart in turn. */
	private static final long RESTARTS_MS = 14_000;

	private static final long START_MS = 12_000;

	private static final int PAUSE_MS = 25;

	/** Least ratio of the share that is served at such VMs to that at the others. */
	private static final double SERVED_RATIO = 0.95;

	private static final List<String> PATHS = List.of("/plain/x", "/once/x", "/stream/x");

	@DataProvider
	static Object[][] cuts() {
		return Stream.of(FaultProxy.Cut.values())
			.flatMap((cut) -> Stream.of(1, 3).map((vms) -> new Object[] { cut, vms }))
			.toArray(Object[][]::new);
	}

	// Guards against callers of VMs that have lost their links to all upstreams being
	// served less often than those of the other VMs.
	@Test(dataProvider = "cuts")
	void callersOfVmsWithoutLinksAreServed(FaultProxy.Cut cut, int cutVms) throws Exception {
		Violations violations = new Violations();
		Path folder = Path.of("target", "lost-links", cut + "-" + cutVms);
		try (SoakFleet fleet = new SoakFleet(folder, VMS); SoakCallers callers = SoakCallers.idle(fleet, violations)) {
			awaitServing(fleet, callers);
			double before = share(measure(fleet, callers, "before", MEASURED_MS / 2));
			List<SoakNode> lost = fleet.nodes().subList(0, cutVms);
			lost.forEach((node) -> fleet.cut(node, cut));
			measure(fleet, callers, "first", CONTACT_MS);
			List<Count> counts = measure(fleet, callers, "later", MEASURED_MS);
			lost.forEach(fleet::heal);
			double atLost = share(counts.subList(0, cutVms));
			double atOthers = share(counts.subList(cutVms, VMS));
			callers.checkRuns();
			String text = "served " + atLost + " at VMs without links, " + atOthers + " at the others, " + before
					+ " before, logs in " + folder;
			assertTrue(atLost >= SERVED_RATIO * atOthers, text);
			assertTrue(atOthers >= SERVED_RATIO * before, text);
			assertTrue(violations.isEmpty(), text + "\n" + violations);
		}
	}

	// Guards against calls that are lost with the VM that makes them, when it restarts.
	@Test
	void callersOfAVmWithoutLinksAreServedWhileOthersRestart() throws Exception {
		Violations violations = new Violations();
		Path folder = Path.of("target", "lost-links", "restarts");
		try (SoakFleet fleet = new SoakFleet(folder, VMS); SoakCallers callers = SoakCallers.idle(fleet, violations)) {
			awaitServing(fleet, callers);
			SoakNode lost = fleet.nodes().get(0);
			fleet.cut(lost, FaultProxy.Cut.RESET);
			count(callers, lost, "first", CONTACT_MS);
			ExecutorService thread = Executors.newSingleThreadExecutor();
			try {
				Future<Count> pending = thread.submit(() -> count(callers, lost, "restarts", RESTARTS_MS));
				for (SoakNode other : fleet.nodes().subList(1, VMS)) {
					other.process().requestStop();
					other.process().awaitExit();
					other.restart();
				}
				Count counted = pending.get();
				callers.checkRuns();
				assertTrue(counted.served() >= SERVED_RATIO * counted.sent(), counted + ", logs in " + folder);
				assertTrue(violations.isEmpty(), violations.toString());
			}
			finally {
				thread.shutdown();
			}
		}
	}

	private static void awaitServing(SoakFleet fleet, SoakCallers callers) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MS);
		for (SoakNode node : fleet.nodes()) {
			while (callers.countServed(node, "/stream/x", 1, "start" + System.nanoTime()) == 0) {
				assertTrue(System.nanoTime() < end, node.vm() + " does not serve");
				SoakCallers.pause(PAUSE_MS);
			}
		}
	}

	// Returns the counts of first attempts at each VM, in the order of the VMs.
	private static List<Count> measure(SoakFleet fleet, SoakCallers callers, String name, long ms) throws Exception {
		ExecutorService threads = Executors.newFixedThreadPool(VMS);
		try {
			List<Future<Count>> pending = new ArrayList<>();
			for (SoakNode node : fleet.nodes()) {
				pending.add(threads.submit(() -> count(callers, node, name, ms)));
			}
			List<Count> counts = new ArrayList<>();
			for (Future<Count> each : pending) {
				counts.add(each.get());
			}
			return counts;
		}
		finally {
			threads.shutdown();
		}
	}

	private static Count count(SoakCallers callers, SoakNode node, String name, long ms) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
		int sent = 0;
		int served = 0;
		while (System.nanoTime() < end) {
			String path = PATHS.get(sent % PATHS.size());
			served += callers.countServed(node, path, 1, name + "-" + node.vm() + "-" + sent + "-");
			sent++;
			SoakCallers.pause(PAUSE_MS);
		}
		return new Count(served, sent);
	}

	private static double share(List<Count> counts) {
		double sent = counts.stream().mapToInt(Count::sent).sum();
		return counts.stream().mapToInt(Count::served).sum() / sent;
	}

	/**
	 * First attempts at one VM.
	 *
	 * @param served how many were served
	 * @param sent how many were sent
	 */
	private record Count(int served, int sent) {
	}

}
