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
 * Tests that an upstream's limit holds for all VMs together, whatever happens to them,
 * and that what it takes is used. Bounds are those of the platform: one and a half times
 * the limit and five requests in any four seconds.
 */
public class LimitedFleetTests {

	private static final long SPAN_MS = 4_000;

	/** Until the limit has to hold after it was named, in milliseconds. */
	private static final long CONTACT_MS = 3_000;

	private static final long HARM_MS = 20_000;

	/** Seeds at six VMs; fewer at more, as they take longer. */
	private static final int SEEDS = 60;

	private static final int LEAST_SEEDS = 3;

	/** Time between the first and the last start of VMs, in milliseconds. */
	private static final int START_SPREAD_MS = 300;

	/** Requests for each that the upstream takes. */
	private static final double PRESSURE = 4;

	private static int tolerated(double perSecond) {
		return (int) Math.floor(1.5 * perSecond * SPAN_MS / 1_000) + 5;
	}

	@DataProvider
	static Object[][] harms() {
		List<Object[]> rows = new ArrayList<>();
		for (int vms : new int[] { 6, 18, 86, 300 }) {
			for (Fault harm : Fault.values()) {
				rows.add(new Object[] { harm, vms });
			}
		}
		return rows.toArray(Object[][]::new);
	}

	private static void rollingRestart(LimitedFleet fleet, Random random) {
		List<String> names = fleet.names();
		long gapMs = HARM_MS / names.size();
		for (int i = 0; i < names.size(); i++) {
			String name = names.get(i);
			fleet.after(i * gapMs, () -> fleet.restart(name, 1_000 + random.nextInt(3_000)));
		}
	}

	private static void holdersRestart(LimitedFleet fleet, Random random) {
		for (int i = 0; i < 4; i++) {
			fleet.after(i * HARM_MS / 4, () -> fleet.restart(fleet.holder(), 500 + random.nextInt(3_000)));
		}
	}

	private static void lose(LimitedFleet fleet, Random random, int oneIn) {
		List<String> names = fleet.names();
		Collections.shuffle(names, random);
		names.subList(0, names.size() / oneIn).forEach((name) -> {
			fleet.kill(name);
			fleet.after(500 + random.nextInt(1_500), () -> fleet.add(name));
		});
	}

	private static void cutHolders(LimitedFleet fleet, int count) {
		for (int i = 0; i < count; i++) {
			int group = i + 1;
			fleet.after(i * SPAN_MS, () -> fleet.cut(fleet.holder(), group));
		}
		fleet.after(HARM_MS * 3 / 4, fleet::heal);
	}

	private static void split(LimitedFleet fleet, Random random, int parts) {
		List<String> names = fleet.names();
		Collections.shuffle(names, random);
		for (int i = 0; i < names.size(); i++) {
			fleet.cut(names.get(i), i % parts);
		}
		fleet.after(HARM_MS / 2, fleet::heal);
	}

	private static void grow(LimitedFleet fleet, Random random) {
		int count = fleet.names().size();
		for (int i = 0; i < count; i++) {
			String name = "late-" + i;
			fleet.after(random.nextInt((int) HARM_MS), () -> fleet.add(name));
		}
	}

	// A third of all pairs of VMs, whoever hears both.
	private static void severPairs(LimitedFleet fleet, Random random) {
		List<String> names = fleet.names();
		for (int i = 0; i < names.size(); i++) {
			for (int j = 0; j < i; j++) {
				if (random.nextInt(3) == 0) {
					fleet.sever(names.get(i), names.get(j));
				}
			}
		}
		fleet.after(HARM_MS * 3 / 4, fleet::heal);
	}

	// Whoever grants and the others lose each other, but for one that hears both.
	private static void severHolder(LimitedFleet fleet, Random random) {
		String holder = fleet.holder();
		List<String> others = new ArrayList<>(fleet.names());
		others.remove(holder);
		others.remove(random.nextInt(others.size()));
		others.forEach((other) -> fleet.sever(holder, other));
		fleet.after(HARM_MS * 3 / 4, fleet::heal);
	}

	private static void growBeforeOutage(LimitedFleet fleet, Random random) {
		int count = fleet.names().size();
		fleet.loseStore();
		for (int i = 0; i < count; i++) {
			String name = "late-" + i;
			fleet.after(random.nextInt(1_000), () -> fleet.add(name));
		}
	}

	@Test(dataProvider = "harms")
	void aLimitHoldsForAllVmsTogetherUnder(Fault harm, int vms) {
		List<String> broken = new ArrayList<>();
		int seeds = Math.max(SEEDS * 6 / vms, LEAST_SEEDS);
		for (long seed = 1; seed <= seeds; seed++) {
			for (double perSecond : new double[] { 0.5, 1, 4, 25 }) {
				LimitedFleet fleet = new LimitedFleet(vms, perSecond, seed);
				fleet.run(SPAN_MS / 2);
				fleet.traffic(perSecond * PRESSURE, fleet.nowMs() + CONTACT_MS + HARM_MS + SPAN_MS);
				long fromMs = fleet.nowMs() + CONTACT_MS;
				fleet.run(CONTACT_MS);
				harm.what.accept(fleet, new Random(seed));
				fleet.run(HARM_MS + SPAN_MS);
				int most = fleet.mostIn(SPAN_MS, fromMs);
				if (most > tolerated(perSecond)) {
					broken.add("seed " + seed + ", " + perSecond + " a second: " + most);
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
	 * Pattern: all VMs start, and the store goes away before those that started first
	 * have read of the others.
	 */
	@Test(dataProvider = "starts", groups = "known-red")
	void aLimitHoldsForVmsThatHaveReadOfOnlySomeOthers(int vms) {
		List<String> broken = new ArrayList<>();
		for (long seed = 1; seed <= SEEDS; seed++) {
			double perSecond = 2;
			LimitedFleet fleet = new LimitedFleet(0, perSecond, seed);
			fleet.loseStore();
			Random random = new Random(seed);
			for (int i = 0; i < vms; i++) {
				String name = "vm-" + i;
				fleet.after(random.nextInt(START_SPREAD_MS), () -> fleet.add(name));
			}
			fleet.run(SPAN_MS / 2);
			fleet.traffic(perSecond * PRESSURE, fleet.nowMs() + CONTACT_MS + HARM_MS);
			long fromMs = fleet.nowMs() + CONTACT_MS;
			fleet.run(CONTACT_MS + HARM_MS);
			int most = fleet.mostIn(SPAN_MS, fromMs);
			if (most > tolerated(perSecond)) {
				broken.add("seed " + seed + ": " + most);
			}
		}
		assertTrue(broken.isEmpty(), String.join("; ", broken));
	}

	@DataProvider
	static Object[][] sizes() {
		return new Object[][] { { 1 }, { 6 }, { 18 }, { 86 }, { 300 } };
	}

	/** Pattern: far more is asked for than the upstream takes, at all VMs alike. */
	@Test(dataProvider = "sizes")
	void whatAnUpstreamTakesIsSentToIt(int vms) {
		double perSecond = 10;
		LimitedFleet fleet = new LimitedFleet(vms, perSecond, 1);
		fleet.run(SPAN_MS / 2);
		fleet.traffic(perSecond * PRESSURE, Long.MAX_VALUE);
		fleet.run(CONTACT_MS);
		long fromMs = fleet.nowMs();
		fleet.run(HARM_MS);
		double share = fleet.arrivedSince(fromMs) / (perSecond * HARM_MS / 1_000);
		assertTrue(share > 0.8, share + " of what it takes");
		assertTrue(share <= 1.1, share + " of what it takes");
	}

	/** Pattern: an upstream recovers, and names no limit any more. */
	@Test(dataProvider = "sizes")
	void whatAnUpstreamTakesAgainIsSentToItSoon(int vms) {
		LimitedFleet fleet = new LimitedFleet(vms, 1, 1);
		fleet.run(SPAN_MS / 2);
		fleet.traffic(40, Long.MAX_VALUE);
		fleet.run(CONTACT_MS);
		fleet.lift();
		fleet.run(CONTACT_MS);
		long fromMs = fleet.nowMs();
		fleet.run(SPAN_MS);
		long arrived = fleet.arrivedSince(fromMs);
		assertTrue(arrived > 0.9 * 40 * SPAN_MS / 1_000, arrived + " of 160");
	}

	/** What happens to the VMs while the limit is to hold. */
	enum Fault {

		/** Nothing. */
		NONE((fleet, random) -> {
		}),
		/** All VMs are stopped and started, one after the other. */
		ROLLING_RESTART(LimitedFleetTests::rollingRestart),
		/** Whoever grants is restarted, four times. */
		HOLDERS_RESTART(LimitedFleetTests::holdersRestart),
		/** Half of the VMs end at once, and start again. */
		LOSS_OF_HALF((fleet, random) -> lose(fleet, random, 2)),
		/** All VMs end at once, and start again with no knowledge. */
		LOSS_OF_ALL((fleet, random) -> lose(fleet, random, 1)),
		/** Whoever grants hears no other VM. */
		HOLDER_CUT_OFF((fleet, random) -> cutHolders(fleet, 1)),
		/** The same, three times, each by itself. */
		HOLDERS_CUT_OFF((fleet, random) -> cutHolders(fleet, 3)),
		/** The VMs are cut into two groups. */
		TWO_GROUPS((fleet, random) -> split(fleet, random, 2)),
		/** The VMs are cut into three groups. */
		THREE_GROUPS((fleet, random) -> split(fleet, random, 3)),
		/** A third of all pairs of VMs do not hear each other. */
		PAIRS_SEVERED(LimitedFleetTests::severPairs),
		/** Whoever grants is heard by one VM, which hears all others, too. */
		HOLDER_SEVERED(LimitedFleetTests::severHolder),
		/** As many VMs start as there are. */
		GROWTH(LimitedFleetTests::grow),
		/** The same, and the store goes away before the others have read of them. */
		GROWTH_BEFORE_OUTAGE(LimitedFleetTests::growBeforeOutage);

		private final BiConsumer<LimitedFleet, Random> what;

		Fault(BiConsumer<LimitedFleet, Random> what) {
			this.what = what;
		}

	}

}
