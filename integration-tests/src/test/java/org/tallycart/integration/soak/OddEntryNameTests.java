package org.tallycart.integration.soak;

import java.nio.file.Path;
import java.util.Arrays;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests with processes that are all restarted while the list of upstreams, which is
 * longer than a page, holds an entry of another writer.
 * <p>
 * {@code -Dnames.all=true} runs all names.
 */
public class OddEntryNameTests {

	private static final int VMS = 2;

	/** The entry stands at the end of a page. */
	private static final int PAGE_SIZE = 4;

	private static final int CALLS = 20;

	private static final long RECOVERY_MS = 20_000;

	private static final int PAUSE_MS = 100;

	private static final int MAX_LISTS = 20;

	private static final String KIND = "servers";

	@DataProvider
	static Object[][] names() {
		String[] names = Boolean.getBoolean("names.all") ? new String[] { "&x", "&after=a", "+x", "#x", "%x", " x" }
				: new String[] { "&x", "%x" };
		return Arrays.stream(names).map((name) -> new Object[] { "i-engine-5" + name }).toArray(Object[][]::new);
	}

	// Guards against fleets that serve nothing after a restart because no list of
	// upstreams ends.
	@Test(dataProvider = "names")
	void allVmsServeAfterARestart(String odd) throws Exception {
		Violations violations = new Violations();
		Path folder = Path.of("target", "odd-entry-names", Integer.toHexString(odd.hashCode()));
		try (SoakFleet fleet = new SoakFleet(folder, VMS); SoakCallers probe = SoakCallers.idle(fleet, violations)) {
			fleet.store().setPageSize(PAGE_SIZE);
			fleet.store().continueAfterKnownNamesOnly(true);
			fleet.nodes().forEach((node) -> awaitServing(probe, node, "before"));
			fleet.store().put(KIND, odd, fleet.upstream("i-engine-5").entry("engine", "d", "ready"));
			int listsBefore = fleet.store().listCount(KIND);
			fleet.nodes().forEach((node) -> node.process().kill());
			for (SoakNode node : fleet.nodes()) {
				node.restart();
			}
			fleet.nodes().forEach((node) -> awaitServing(probe, node, "after"));
			for (SoakNode node : fleet.nodes()) {
				for (String path : new String[] { "/plain/x", "/stream/x" }) {
					String prefix = "calm" + node.vm() + path.charAt(1);
					assertEquals(probe.countServed(node, path, CALLS, prefix), CALLS, node.vm() + " " + path);
				}
			}
			assertEquals(fleet.store().malformedCalls(), 0);
			int lists = fleet.store().listCount(KIND) - listsBefore;
			assertTrue(lists <= MAX_LISTS, lists + " lists");
		}
		assertTrue(violations.isEmpty(), violations.toString());
	}

	private static void awaitServing(SoakCallers probe, SoakNode node, String name) {
		long endMs = UnansweredRequestRules.nowMs() + RECOVERY_MS;
		int attempts = 0;
		while (probe.countServed(node, "/stream/x", 1, name + node.vm() + "-" + attempts + "-") == 0) {
			assertTrue(UnansweredRequestRules.nowMs() < endMs, node.vm() + " does not serve");
			attempts++;
			SoakCallers.pause(PAUSE_MS);
		}
	}

}
