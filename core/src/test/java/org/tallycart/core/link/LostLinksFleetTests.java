package org.tallycart.core.link;

import java.util.ArrayList;
import java.util.List;

import org.tallycart.core.link.LostLinksSimulation.Cut;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that callers of VMs without links to upstreams are served as often as others, for
 * fleets of several sizes, in virtual time.
 */
public class LostLinksFleetTests {

	private static final int SEEDS = 5;

	/** Time after which VMs that have lost their links must serve again. */
	private static final long CONTACT_MS = 3_000;

	private static final long MEASURED_MS = 9_000;

	private static final double SERVED_RATIO = 0.95;

	@DataProvider
	static Object[][] fleets() {
		List<Object[]> rows = new ArrayList<>();
		for (int vms : new int[] { 6, 60, 300 }) {
			for (Cut cut : List.of(Cut.REFUSED, Cut.SILENT)) {
				for (int cutVms : new int[] { 1, vms / 11 + 1, vms / 4 + 1, vms / 2 }) {
					rows.add(new Object[] { vms, cut, cutVms });
				}
			}
		}
		return rows.toArray(Object[][]::new);
	}

	// Guards against callers of VMs without links being served less often than others.
	@Test(dataProvider = "fleets")
	void callersOfVmsWithoutLinksAreServedAsOften(int vms, Cut cut, int cutVms) {
		for (long seed = 0; seed < SEEDS; seed++) {
			LostLinksSimulation fleet = cutFleet(vms, cut, cutVms, seed);
			fleet.run(MEASURED_MS);
			double atCut = fleet.count(true).share();
			double atOthers = fleet.count(false).share();
			assertTrue(atCut >= SERVED_RATIO * atOthers, "seed " + seed + ": " + atCut + " against " + atOthers);
		}
	}

	private static LostLinksSimulation cutFleet(int vms, Cut cut, int cutVms, long seed) {
		LostLinksSimulation fleet = new LostLinksSimulation(vms, seed);
		fleet.run(1_000);
		fleet.vms.subList(0, cutVms).forEach((vm) -> vm.cut = cut);
		fleet.run(CONTACT_MS);
		fleet.resetCounts();
		return fleet;
	}

	// Guards against many VMs without links that all use the same few others.
	@Test
	void theLoadSpreadsOverTheOtherVms() {
		LostLinksSimulation fleet = cutFleet(300, Cut.SILENT, 27, 1);
		fleet.run(MEASURED_MS);
		int relayed = fleet.vms.stream().mapToInt((vm) -> vm.relayed).sum();
		int most = fleet.vms.stream().mapToInt((vm) -> vm.relayed).max().orElse(0);
		long used = fleet.vms.stream().filter((vm) -> vm.relayed > 0).count();
		assertTrue(used >= 50, used + " VMs are used");
		assertTrue(most <= relayed / 15, "one VM makes " + most + " of " + relayed + " calls");
	}

	// Guards against a VM that goes on using others after its links are back.
	@Test(dataProvider = "fleets")
	void vmsUseTheirOwnLinksAgainOnceTheyAreBack(int vms, Cut cut, int cutVms) {
		LostLinksSimulation fleet = cutFleet(vms, cut, cutVms, 1);
		fleet.vms.forEach((vm) -> vm.cut = Cut.NONE);
		fleet.run(1_000);
		fleet.resetCounts();
		fleet.run(MEASURED_MS);
		assertEquals(fleet.vms.stream().mapToInt((vm) -> vm.relayed).sum(), 0);
		assertEquals(fleet.count(false).share(), 1.0);
	}

	@Test
	void aHealthyFleetOpensNoProbes() {
		LostLinksSimulation fleet = new LostLinksSimulation(60, 1);
		fleet.run(MEASURED_MS);
		assertEquals(fleet.vms.stream().mapToInt((vm) -> vm.probes + vm.relayed).sum(), 0);
	}

	// Guards against VMs that take failed upstreams for failed links.
	@Test
	void aFleetWithManyFailedUpstreamsRelaysNothing() {
		LostLinksSimulation fleet = new LostLinksSimulation(60, 1);
		fleet.vms.forEach((vm) -> vm.upstreamsDown(16));
		fleet.run(MEASURED_MS);
		assertEquals(fleet.vms.stream().mapToInt((vm) -> vm.relayed).sum(), 0);
	}

	// Guards against requests that wait or are sent around while no VM has links.
	@Test
	void aFleetWithoutAnyLinksRelaysNothing() {
		LostLinksSimulation fleet = cutFleet(60, Cut.REFUSED, 60, 1);
		fleet.run(MEASURED_MS);
		assertEquals(fleet.vms.stream().mapToInt((vm) -> vm.relayed).sum(), 0);
		assertEquals(fleet.count(true).served, 0);
	}

}
