package org.tallycart.core.limit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Tests that all VMs together stay within an upstream's limit during faults, and use the
 * limit. The platform tolerates 1.5 times the limit plus five requests in any four
 * seconds.
 */
public class LimitedFleetTests {

	private static final long SPAN_MS = 4_000;

	/** Time from the first request until the limit must hold, in milliseconds. */
	private static final long LIMIT_DELAY_MS = 3_000;

	private static final long FAULT_MS = 20_000;

	/** Number of seeds at six VMs; reduced for larger fleets. */
	private static final int SEED_COUNT = 60;

	private static final int MIN_SEEDS = 3;

	/** Maximum time between the first and the last start of a VM, in milliseconds. */
	private static final int START_SPREAD_MS = 300;

	/** Ratio of the request rate to the limit. */
	private static final double LOAD_FACTOR = 4;

	private static int tolerated(double perSecond) {
		return (int) Math.floor(1.5 * perSecond * SPAN_MS / 1_000) + 5;
	}

	// In virtual time, rows share nothing.
	@DataProvider(parallel = true)
	static Object[][] faults() {
		List<Object[]> rows = new ArrayList<>();
		for (int vms : new int[] { 6, 18, 86, 300 }) {
			for (Fault fault : Fault.values()) {
				rows.add(new Object[] { fault, vms });
			}
		}
		return rows.toArray(Object[][]::new);
	}

	private static void restartAll(LimitedFleet fleet, Random random) {
		List<String> names = fleet.names();
		long gapMs = FAULT_MS / names.size();
		for (int i = 0; i < names.size(); i++) {
			String name = names.get(i);
			fleet.after(i * gapMs, () -> fleet.restart(name, 1_000 + random.nextInt(3_000)));
		}
	}

	private static void restartLeaders(LimitedFleet fleet, Random random) {
		for (int i = 0; i < 4; i++) {
			fleet.after(i * FAULT_MS / 4, () -> fleet.restart(fleet.leader(), 500 + random.nextInt(3_000)));
		}
	}

	private static void restartFraction(LimitedFleet fleet, Random random, int oneIn) {
		List<String> names = fleet.names();
		Collections.shuffle(names, random);
		names.subList(0, names.size() / oneIn).forEach((name) -> {
			fleet.kill(name);
			fleet.after(500 + random.nextInt(1_500), () -> fleet.add(name));
		});
	}

	private static void isolateLeaders(LimitedFleet fleet, int count) {
		for (int i = 0; i < count; i++) {
			int group = i + 1;
			fleet.after(i * SPAN_MS, () -> fleet.isolate(fleet.leader(), group));
		}
		fleet.after(FAULT_MS * 3 / 4, fleet::heal);
	}

	private static void partition(LimitedFleet fleet, Random random, int parts) {
		List<String> names = fleet.names();
		Collections.shuffle(names, random);
		for (int i = 0; i < names.size(); i++) {
			fleet.isolate(names.get(i), i % parts);
		}
		fleet.after(FAULT_MS / 2, fleet::heal);
	}

	private static void doubleVms(LimitedFleet fleet, Random random) {
		int count = fleet.names().size();
		for (int i = 0; i < count; i++) {
			String name = "late-" + i;
			fleet.after(random.nextInt((int) FAULT_MS), () -> fleet.add(name));
		}
	}

	// Disconnects a third of all pairs of VMs.
	private static void disconnectPairs(LimitedFleet fleet, Random random) {
		List<String> names = fleet.names();
		for (int i = 0; i < names.size(); i++) {
			for (int j = 0; j < i; j++) {
				if (random.nextInt(3) == 0) {
					fleet.disconnect(names.get(i), names.get(j));
				}
			}
		}
		fleet.after(FAULT_MS * 3 / 4, fleet::heal);
	}

	// Disconnects the leader from all VMs but one.
	private static void disconnectLeader(LimitedFleet fleet, Random random) {
		String leader = fleet.leader();
		List<String> others = new ArrayList<>(fleet.names());
		others.remove(leader);
		others.remove(random.nextInt(others.size()));
		others.forEach((other) -> fleet.disconnect(leader, other));
		fleet.after(FAULT_MS * 3 / 4, fleet::heal);
	}

	private static void doubleVmsBeforeOutage(LimitedFleet fleet, Random random) {
		int count = fleet.names().size();
		fleet.stopStore();
		for (int i = 0; i < count; i++) {
			String name = "late-" + i;
			fleet.after(random.nextInt(1_000), () -> fleet.add(name));
		}
	}

	@Test(dataProvider = "faults")
	void aLimitHoldsForAllVmsTogether(Fault fault, int vms) {
		List<String> broken = new ArrayList<>();
		int seeds = Math.max(SEED_COUNT * 6 / vms, MIN_SEEDS);
		for (long seed = 1; seed <= seeds; seed++) {
			for (double perSecond : new double[] { 0.5, 1, 4, 25 }) {
				LimitedFleet fleet = new LimitedFleet(vms, perSecond, seed);
				fleet.run(SPAN_MS / 2);
				fleet.traffic(perSecond * LOAD_FACTOR, fleet.nowMs() + LIMIT_DELAY_MS + FAULT_MS + SPAN_MS);
				long fromMs = fleet.nowMs() + LIMIT_DELAY_MS;
				fleet.run(LIMIT_DELAY_MS);
				fault.action.accept(fleet, new Random(seed));
				fleet.run(FAULT_MS + SPAN_MS);
				int maxArrivals = fleet.maxArrivalsIn(SPAN_MS, fromMs);
				if (maxArrivals > tolerated(perSecond)) {
					broken.add("seed " + seed + ", " + perSecond + " a second: " + maxArrivals);
				}
			}
		}
		assertTrue(broken.isEmpty(), String.join("; ", broken));
	}

	@DataProvider
	static Object[][] starts() {
		return new Object[][] { { 2 }, { 3 }, { 6 }, { 18 } };
	}

	/**
	 * All VMs start, and the store becomes unavailable before the first of them have read
	 * the records of the others.
	 */
	@Test(dataProvider = "starts")
	void aLimitHoldsForVmsThatHaveReadOfOnlySomeOthers(int vms) {
		List<String> broken = new ArrayList<>();
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			double perSecond = 2;
			LimitedFleet fleet = new LimitedFleet(0, perSecond, seed);
			fleet.stopStore();
			Random random = new Random(seed);
			for (int i = 0; i < vms; i++) {
				String name = "vm-" + i;
				fleet.after(random.nextInt(START_SPREAD_MS), () -> fleet.add(name));
			}
			fleet.run(SPAN_MS / 2);
			fleet.traffic(perSecond * LOAD_FACTOR, fleet.nowMs() + LIMIT_DELAY_MS + FAULT_MS);
			long fromMs = fleet.nowMs() + LIMIT_DELAY_MS;
			fleet.run(LIMIT_DELAY_MS + FAULT_MS);
			int maxArrivals = fleet.maxArrivalsIn(SPAN_MS, fromMs);
			if (maxArrivals > tolerated(perSecond)) {
				broken.add("seed " + seed + ": " + maxArrivals);
			}
		}
		assertTrue(broken.isEmpty(), String.join("; ", broken));
	}

	@DataProvider
	static Object[][] sizes() {
		return new Object[][] { { 1 }, { 6 }, { 18 }, { 86 }, { 300 } };
	}

	/** The request rate exceeds the limit by far, evenly over all VMs. */
	@Test(dataProvider = "sizes")
	void aStatedLimitIsFullyUsed(int vms) {
		double perSecond = 10;
		LimitedFleet fleet = new LimitedFleet(vms, perSecond, 1);
		fleet.run(SPAN_MS / 2);
		fleet.traffic(perSecond * LOAD_FACTOR, Long.MAX_VALUE);
		fleet.run(LIMIT_DELAY_MS);
		long fromMs = fleet.nowMs();
		fleet.run(FAULT_MS);
		double share = fleet.arrivedSince(fromMs) / (perSecond * FAULT_MS / 1_000);
		assertTrue(share > 0.8, share + " of what it takes");
		assertTrue(share <= 1.1, share + " of what it takes");
	}

	/** An upstream recovers and withdraws its limit. */
	@Test(dataProvider = "sizes")
	void aWithdrawnLimitIsLiftedSoon(int vms) {
		LimitedFleet fleet = new LimitedFleet(vms, 1, 1);
		fleet.run(SPAN_MS / 2);
		fleet.traffic(40, Long.MAX_VALUE);
		fleet.run(LIMIT_DELAY_MS);
		fleet.withdrawLimit();
		fleet.run(LIMIT_DELAY_MS);
		long fromMs = fleet.nowMs();
		fleet.run(SPAN_MS);
		long arrived = fleet.arrivedSince(fromMs);
		assertTrue(arrived > 0.9 * 40 * SPAN_MS / 1_000, arrived + " of 160");
	}

	/** The faults during which the limit must hold. */
	enum Fault {

		/** No fault. */
		NONE((fleet, random) -> {
		}),
		/** All VMs restart, one after the other. */
		ROLLING_RESTART(LimitedFleetTests::restartAll),
		/** The leader restarts, four times. */
		LEADER_RESTARTS(LimitedFleetTests::restartLeaders),
		/** Half of the VMs stop at once and start again. */
		LOSS_OF_HALF((fleet, random) -> restartFraction(fleet, random, 2)),
		/** All VMs stop at once and start again without state. */
		LOSS_OF_ALL((fleet, random) -> restartFraction(fleet, random, 1)),
		/** The leader reaches no other VM. */
		LEADER_ISOLATED((fleet, random) -> isolateLeaders(fleet, 1)),
		/** Three successive leaders reach no other VM. */
		LEADERS_ISOLATED((fleet, random) -> isolateLeaders(fleet, 3)),
		/** The VMs are partitioned into two groups. */
		TWO_PARTITIONS((fleet, random) -> partition(fleet, random, 2)),
		/** The VMs are partitioned into three groups. */
		THREE_PARTITIONS((fleet, random) -> partition(fleet, random, 3)),
		/** A third of all pairs of VMs do not reach each other. */
		PAIRS_DISCONNECTED(LimitedFleetTests::disconnectPairs),
		/** The leader reaches only one VM, which reaches all others. */
		LEADER_DISCONNECTED(LimitedFleetTests::disconnectLeader),
		/** The number of VMs doubles. */
		DOUBLING(LimitedFleetTests::doubleVms),
		/**
		 * The number of VMs doubles, and the store becomes unavailable before the others
		 * have read the new records.
		 */
		DOUBLING_BEFORE_OUTAGE(LimitedFleetTests::doubleVmsBeforeOutage);

		private final BiConsumer<LimitedFleet, Random> action;

		Fault(BiConsumer<LimitedFleet, Random> action) {
			this.action = action;
		}

	}

}
