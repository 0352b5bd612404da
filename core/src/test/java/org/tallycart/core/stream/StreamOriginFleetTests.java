package org.tallycart.core.stream;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that streams which callers resume at any VM go on at the software version that
 * began them, for fleets of several sizes, in virtual time.
 */
public class StreamOriginFleetTests {

	private static final int SEEDS = 4;

	/** Streams that a fleet of any size begins in a second, but at least one per VM. */
	private static final int BEGINS_PER_S = 120;

	/** Least share of resumed streams that go on; all new streams begin in the model. */
	private static final double WENT_ON_SHARE = 0.95;

	private static final int MIN_RESUMED = 12;

	private static final long CUT_MS = 4_000;

	private static final long ROLLING_GAP_MS = 1_800;

	/** What happens to a fleet. */
	private enum Loss {

		/** Two VMs, or one of a hundred, are killed. */
		FEW((fleet) -> fleet.kill(fleet.sample(Math.max(2, fleet.vmCount() / 100)))),
		/** A third of the VMs is killed. */
		THIRD((fleet) -> fleet.kill(fleet.sample(fleet.vmCount() / 3))),
		/** All VMs of a failure domain are killed. */
		DOMAIN((fleet) -> fleet.kill(fleet.inDomain(1))),
		/** A third of the VMs is cut off from the store and the other VMs. */
		CUT((fleet) -> fleet.cut(fleet.sample(fleet.vmCount() / 3), CUT_MS)),
		/** VMs are killed while others are cut off. */
		KILLED_AND_CUT((fleet) -> {
			List<StreamOriginSimulation.Vm> lost = fleet.sample(fleet.vmCount() / 3);
			fleet.cut(lost.subList(0, lost.size() / 2), CUT_MS);
			fleet.kill(lost.subList(lost.size() / 2, lost.size()));
		}),
		/** A tenth of the VMs, or each of few, is stopped and started in turn. */
		ROLLING((fleet) -> {
			int step = Math.max(1, fleet.vmCount() / 10);
			List<StreamOriginSimulation.Vm> all = fleet.sample(fleet.vmCount());
			for (int i = 0; i < Math.min(fleet.vmCount(), 5 * step); i++) {
				StreamOriginSimulation.Vm vm = all.get(i);
				fleet.after(i / step * ROLLING_GAP_MS, () -> fleet.stopGracefully(vm));
			}
		});

		private final Consumer<StreamOriginSimulation> action;

		Loss(Consumer<StreamOriginSimulation> action) {
			this.action = action;
		}

	}

	@DataProvider
	static Object[][] fleets() {
		List<Object[]> rows = new ArrayList<>();
		for (int vms : new int[] { 6, 60, 300 }) {
			Arrays.stream(Loss.values()).forEach((loss) -> rows.add(new Object[] { vms, loss }));
		}
		return rows.toArray(Object[][]::new);
	}

	// Guards against a resumed stream that goes on at another version, or is rejected
	// while its own serves.
	@Test(dataProvider = "fleets")
	void streamsGoOnAtTheVersionThatBeganThem(int vms, Loss loss) {
		int resumed = 0;
		int wentOn = 0;
		for (long seed = 0; seed < SEEDS; seed++) {
			StreamOriginSimulation fleet = mixedFleet(vms, seed);
			for (int i = 0; i < 2; i++) {
				loss.action.accept(fleet);
				fleet.run(11_000);
			}
			assertEquals(fleet.mixed, 0, "seed " + seed);
			resumed += fleet.resumed;
			wentOn += fleet.wentOn;
		}
		assertTrue(resumed >= MIN_RESUMED, resumed + " were resumed");
		assertTrue(wentOn >= WENT_ON_SHARE * resumed, wentOn + " of " + resumed + " went on");
	}

	private static StreamOriginSimulation mixedFleet(int vms, long seed) {
		StreamOriginSimulation fleet = settledFleet(vms, seed);
		fleet.list("v2", 4);
		fleet.run(3_000);
		return fleet;
	}

	// Returns a fleet that one version has served for long.
	private static StreamOriginSimulation settledFleet(int vms, long seed) {
		StreamOriginSimulation fleet = new StreamOriginSimulation(vms, Math.max(1, BEGINS_PER_S / vms), seed);
		fleet.beginning = false;
		fleet.list("v1", 4);
		fleet.run(StreamOriginRegistry.RETENTION_MS + 1_000);
		fleet.beginning = true;
		fleet.run(4_000);
		return fleet;
	}

	// Guards against streams that began before a second version was listed being
	// rejected after it, and against versions being mixed while it spreads.
	@Test(dataProvider = "fleets")
	void streamsGoOnWhileAVersionIsReplaced(int vms, Loss loss) {
		int resumed = 0;
		int wentOn = 0;
		for (long seed = 0; seed < SEEDS; seed++) {
			StreamOriginSimulation fleet = settledFleet(vms, seed);
			fleet.after(0, () -> fleet.list("v2", 4));
			fleet.after(1_000, () -> loss.action.accept(fleet));
			fleet.after(8_000, () -> fleet.unlist("v1"));
			fleet.after(8_100, () -> loss.action.accept(fleet));
			fleet.run(20_000);
			assertEquals(fleet.mixed, 0, "seed " + seed);
			resumed += fleet.resumed;
			wentOn += fleet.wentOn;
		}
		assertTrue(wentOn >= WENT_ON_SHARE * resumed, wentOn + " of " + resumed + " went on");
	}

	@DataProvider
	static Object[][] cutVms() {
		return new Object[][] { { 6, 1 }, { 6, 2 }, { 60, 1 }, { 60, 20 }, { 300, 1 }, { 300, 100 } };
	}

	// Guards against streams that began at a new version, and go on at another one at
	// VMs that were cut off before they could learn of the new one.
	@Test(dataProvider = "cutVms")
	void streamsDoNotGoOnAtAnotherVersionAtVmsThatAreOutOfStep(int vms, int cut) {
		for (long seed = 0; seed < 5 * SEEDS; seed++) {
			StreamOriginSimulation fleet = settledFleet(vms, seed);
			List<StreamOriginSimulation.Vm> all = fleet.sample(vms);
			fleet.fallBehind(all.subList(0, cut), CUT_MS);
			fleet.list("v2", 4);
			for (int i = 1; i < 5; i++) {
				StreamOriginSimulation.Vm killed = all.get(vms - i);
				fleet.after(400 * i, () -> fleet.kill(List.of(killed)));
			}
			fleet.run(20_000);
			assertEquals(fleet.mixed, 0, "seed " + seed);
		}
	}

	@DataProvider
	static Object[][] losses() {
		return new Object[][] { { 6, 0 }, { 6, 1 }, { 60, 0 }, { 60, 1 }, { 300, 0 }, { 300, 1 } };
	}

	// Guards against the loss of all VMs ending all streams of a fleet with one version.
	@Test(dataProvider = "losses")
	void streamsOfAFleetWithOneVersionGoOnAfterTheLossOfNearlyAllVms(int vms, int left) {
		StreamOriginSimulation fleet = settledFleet(vms, 1);
		fleet.returnMs = (left == 0) ? 4_000 : 1;
		fleet.kill(fleet.sample(vms - left));
		fleet.run(6_000);
		assertEquals(fleet.mixed, 0);
		assertTrue(fleet.resumed >= MIN_RESUMED, fleet.resumed + " were resumed");
		assertTrue(fleet.wentOn >= WENT_ON_SHARE * fleet.resumed, fleet.wentOn + " of " + fleet.resumed);
	}

	@DataProvider
	static Object[][] sizes() {
		return new Object[][] { { 6 }, { 60 }, { 300 } };
	}

	// Guards against messages about streams on days on which one version serves.
	@Test(dataProvider = "sizes")
	void aFleetWithOneVersionSendsNothing(int vms) {
		StreamOriginSimulation fleet = settledFleet(vms, 1);
		fleet.originsSent = 0;
		fleet.run(10_000);
		assertEquals(fleet.originsSent, 0);
	}

}
