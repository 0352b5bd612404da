package org.tallycart.core.crash;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link CrashingPartDetector}: single cases, and simulated fleets of 6 to 300
 * VMs in virtual time in which requests share their first parts and sessions.
 */
public class CrashingPartDetectorTests {

	/** Seeds at up to 6 VMs; larger fleets have as many requests with fewer. */
	private static final int SEEDS = Integer.getInteger("crash.seeds", 30);

	private static final long DURATION_MS = 20_000;

	private static final long FAULT_MS = 6_000;

	/** Number of sends with a part that are tolerated after it should be known. */
	private static final int MAX_LATE_SENDS = 3;

	private static final int SMALL_FLEET = 6;

	/** More parts at a time are a test of their own in a small fleet. */
	private static final int MAX_PARTS_IN_SMALL_FLEET = 3;

	private static final int ROUTES = 3;

	private static final int SESSIONS = 40;

	/** Number of crashes of one part by which it is known. */
	private static final int CRASHES_TO_CONFIRM = 4;

	private static int seeds(int vms) {
		return (vms <= SMALL_FLEET) ? SEEDS : Math.max(SEEDS * 20 / vms, 3);
	}

	private static Suspect suspect(String content, long sentMs, String... parts) {
		List<Fingerprint> fingerprints = List.of(parts).stream().map(Fingerprint::new).toList();
		return new Suspect(new Fingerprint(content), fingerprints, "id of " + content, sentMs, 50);
	}

	private static List<String> confirmed(CrashCauseDetector detector, long atMs) {
		return detector.takeConfirmed(atMs + CrashingRequestDetector.CONFIRMATION_DELAY_MS)
			.stream()
			.map(Fingerprint::value)
			.toList();
	}

	private static CrashCauseDetector detector() {
		return new CrashCauseDetector((fingerprint) -> false);
	}

	private static void crash(CrashCauseDetector detector, int number, Suspect... suspects) {
		long atMs = 1_000L * number;
		detector.onReport(CrashReport.of("e" + number, atMs, List.of(suspects)), atMs + 30);
	}

	@Test
	void fourCrashesOfDifferentRequestsConfirmTheirPart() {
		CrashCauseDetector detector = detector();
		for (int i = 1; i < CRASHES_TO_CONFIRM; i++) {
			crash(detector, i, suspect("r" + i, i * 1_000 - 50, "first", "bad"));
			detector.onServed(new Fingerprint("first"), i * 1_000 + 20);
			assertEquals(confirmed(detector, i * 1_000), List.of());
		}
		crash(detector, 4, suspect("r4", 3_950, "first", "bad"));
		assertEquals(detector.takeConfirmed(4_030), List.of(), "not before it could be cleared");
		assertEquals(confirmed(detector, 4_030), List.of("bad"));
		assertEquals(confirmed(detector, 9_000), List.of(), "confirmed once");
	}

	// Guards against a part that is accused for one request that is sent again and again.
	@Test
	void aSingleContentConfirmsTheRequestAndNoPart() {
		CrashCauseDetector detector = detector();
		for (int i = 1; i <= 2 * CRASHES_TO_CONFIRM; i++) {
			long atMs = 1_000L * i;
			Suspect copy = new Suspect(new Fingerprint("r"), List.of(new Fingerprint("part")), "id" + i, atMs - 50, 50);
			detector.onReport(CrashReport.of("e" + i, atMs, List.of(copy)), atMs + 30);
		}
		assertEquals(confirmed(detector, 8_030), List.of("r"));
	}

	@Test
	void aServedPartIsClearedOfEarlierCrashes() {
		CrashCauseDetector detector = detector();
		for (int i = 1; i <= CRASHES_TO_CONFIRM; i++) {
			crash(detector, i, suspect("r" + i, i * 1_000 - 50, "part"));
		}
		detector.onServed(new Fingerprint("part"), 4_100);
		assertEquals(confirmed(detector, 4_030), List.of());
		for (int i = 5; i <= 10; i++) {
			crash(detector, i, suspect("r" + i, i * 1_000 - 50, "part"));
		}
		assertEquals(confirmed(detector, 10_030), List.of(), "served shortly before");
		int later = (int) (CrashingPartDetector.CLEARED_MS / 1_000) + 5;
		for (int i = later; i < later + CRASHES_TO_CONFIRM; i++) {
			crash(detector, i, suspect("r" + i, i * 1_000 - 50, "part"));
		}
		assertEquals(confirmed(detector, (later + CRASHES_TO_CONFIRM) * 1_000), List.of("part"), "crashes since");
	}

	// Guards against a widely shared part that is accused for several parts that crash
	// upstreams at the same time.
	@Test
	void aSharedFirstPartIsNotAccusedForThePartsBehindIt() {
		CrashCauseDetector detector = detector();
		detector.onServed(new Fingerprint("first"), 500);
		Set<String> found = new HashSet<>();
		for (int i = 1; i <= 3 * CRASHES_TO_CONFIRM; i++) {
			crash(detector, i, suspect("r" + i, i * 1_000 - 50, "first", "bad" + i % 3));
			found.addAll(confirmed(detector, i * 1_000 + 30));
		}
		assertEquals(found, Set.of("bad0", "bad1", "bad2"));
	}

	@Test
	void partsThatOnlyOccurTogetherConfirmTheLessShared() {
		CrashCauseDetector detector = detector();
		for (int i = 1; i <= CRASHES_TO_CONFIRM; i++) {
			crash(detector, i, suspect("r" + i, i * 1_000 - 50, "first", "second"));
		}
		assertEquals(confirmed(detector, 4_030), List.of("second"));
	}

	@Test
	void simultaneousCrashesConfirmNoPart() {
		CrashCauseDetector detector = detector();
		for (int i = 0; i < 3 * CRASHES_TO_CONFIRM; i++) {
			Suspect[] suspects = (i % 3 == 0) ? new Suspect[] { suspect("other" + i, 900) }
					: new Suspect[] { suspect("r" + i, 900, "part") };
			detector.onReport(CrashReport.of("e" + i, 1_000 + i, List.of(suspects)), 1_030);
		}
		assertEquals(confirmed(detector, 1_030), List.of());
	}

	private static List<String> soundParts(Random random) {
		int route = random.nextInt(ROUTES);
		boolean newSession = random.nextInt(3) == 0;
		String session = newSession ? "session" + random.nextInt() : "session" + random.nextInt(SESSIONS);
		return List.of("first" + route, route + session);
	}

	private static List<String> crashingParts(Random random, int part) {
		List<String> parts = new ArrayList<>(soundParts(random));
		parts.add(1, CrashingFleetSimulation.CRASHING_PART + part);
		return parts;
	}

	@DataProvider
	static Object[][] fleets() {
		int[][] sizes = { { 6, 8, 24 }, { 60, 60, 150 }, { 300, 300, 600 } };
		double[][] faults = { { 1, 3 }, { 1, 0.5 }, { 3, 2 }, { 5, 4 } };
		List<Object[]> rows = new ArrayList<>();
		for (int[] size : sizes) {
			for (double[] fault : faults) {
				if (size[0] == SMALL_FLEET && fault[0] > MAX_PARTS_IN_SMALL_FLEET) {
					continue;
				}
				rows.add(new Object[] { size[0], size[1], size[2], (int) fault[0], fault[1] });
			}
		}
		return rows.toArray(Object[][]::new);
	}

	/** Twenty requests a second come with five parts, to eight engines. */
	@Test(groups = "known-red")
	void fivePartsAreConfirmedInTimeInASmallFleet() {
		crashingPartsAreConfirmedAndNoOther(SMALL_FLEET, 8, 24, 5, 4);
	}

	/** Several parts crash engines, at a rate of requests each. */
	@Test(dataProvider = "fleets")
	void crashingPartsAreConfirmedAndNoOther(int vms, int engines, int perSecond, int parts, double crashingPerSecond) {
		Set<Fingerprint> expected = IntStream.range(0, parts)
			.mapToObj((i) -> new Fingerprint(CrashingFleetSimulation.CRASHING_PART + i))
			.collect(Collectors.toSet());
		int late = 0;
		List<String> wrong = new ArrayList<>();
		for (int seed = 0; seed < seeds(vms); seed++) {
			CrashingFleetSimulation fleet = new CrashingFleetSimulation(vms, engines, seed);
			fleet.startPartTraffic(perSecond, CrashingPartDetectorTests::soundParts, DURATION_MS);
			for (int i = 0; i < parts; i++) {
				int part = i;
				fleet.schedule(FAULT_MS, () -> fleet.startPartTraffic(crashingPerSecond,
						(random) -> crashingParts(random, part), DURATION_MS));
			}
			fleet.runUntil(DURATION_MS);
			if (!fleet.quarantined().containsAll(expected) || fleet.soundRejectedShare() > 0) {
				wrong.add("seed " + seed + ": " + fleet.quarantined() + ", rejected " + fleet.soundRejectedShare());
			}
			for (int i = 0; i < parts; i++) {
				late = Math.max(late, fleet.lateSends(CrashingFleetSimulation.CRASHING_PART + i));
			}
		}
		assertEquals(wrong, List.of());
		assertTrue(late <= MAX_LATE_SENDS, late + " sends");
	}

	@DataProvider
	static Object[][] fleetsWithFrequentRequest() {
		return new Object[][] { { 3, 3, 10, 1, 2 }, { 3, 3, 10, 2, 2 }, { 6, 8, 24, 1, 3 }, { 6, 8, 24, 2, 1 },
				{ 6, 8, 24, 3, 2 }, { 60, 60, 150, 3, 2 }, { 300, 300, 600, 3, 2 } };
	}

	// Guards against a sound request that many callers send alike being quarantined for
	// the parts of other requests.
	@Test(dataProvider = "fleetsWithFrequentRequest")
	void aFrequentRequestIsNotAccusedForParts(int vms, int engines, int perSecond, int parts,
			double crashingPerSecond) {
		Fingerprint frequent = new Fingerprint("many");
		List<Integer> wrong = new ArrayList<>();
		for (int seed = 0; seed < seeds(vms); seed++) {
			CrashingFleetSimulation fleet = new CrashingFleetSimulation(vms, engines, seed);
			fleet.startTraffic(perSecond, "many", true, DURATION_MS);
			for (int i = 0; i < parts; i++) {
				int part = i;
				fleet.schedule(FAULT_MS, () -> fleet.startPartTraffic(crashingPerSecond,
						(random) -> crashingParts(random, part), DURATION_MS));
			}
			fleet.runUntil(DURATION_MS);
			if (fleet.quarantined().contains(frequent)) {
				wrong.add(seed);
			}
		}
		assertEquals(wrong, List.of());
	}

	@DataProvider
	static Object[][] losses() {
		return new Object[][] { { 6, 8, 24, 2, 3_500 }, { 6, 8, 24, 1, 1_000 }, { 6, 8, 24, 1, 500 },
				{ 6, 8, 24, 8, 4_000 }, { 60, 60, 150, 15, 3_500 }, { 60, 60, 150, 1, 100 },
				{ 300, 300, 600, 75, 3_500 }, { 300, 300, 600, 1, 50 } };
	}

	/** Engines crash for other reasons, several at once or one after the other. */
	@Test(dataProvider = "losses")
	void unrelatedCrashesConfirmNoPart(int vms, int engines, int perSecond, int count, int intervalMs) {
		List<String> wrong = new ArrayList<>();
		for (int seed = 0; seed < seeds(vms); seed++) {
			CrashingFleetSimulation fleet = new CrashingFleetSimulation(vms, engines, seed);
			fleet.startPartTraffic(perSecond, CrashingPartDetectorTests::soundParts, DURATION_MS);
			for (int at = 2_000; at < DURATION_MS; at += intervalMs) {
				fleet.schedule(at, () -> fleet.crashEngines(count));
			}
			fleet.runUntil(DURATION_MS);
			boolean partFound = fleet.quarantined().stream().anyMatch((each) -> !each.value().startsWith("content"));
			if (partFound || fleet.soundRejectedShare() > 0) {
				wrong.add("seed " + seed + ": " + fleet.quarantined() + ", rejected " + fleet.soundRejectedShare());
			}
		}
		assertEquals(wrong, List.of());
	}

	/** Crashes of other causes come beside those of a part. */
	@Test(dataProvider = "losses")
	void aPartIsConfirmedBesideUnrelatedCrashes(int vms, int engines, int perSecond, int count, int intervalMs) {
		List<String> wrong = new ArrayList<>();
		for (int seed = 0; seed < seeds(vms); seed++) {
			CrashingFleetSimulation fleet = new CrashingFleetSimulation(vms, engines, seed);
			fleet.startPartTraffic(perSecond, CrashingPartDetectorTests::soundParts, DURATION_MS);
			fleet.schedule(FAULT_MS,
					() -> fleet.startPartTraffic(3, (random) -> crashingParts(random, 0), DURATION_MS));
			for (int at = 2_000; at < DURATION_MS; at += intervalMs) {
				fleet.schedule(at, () -> fleet.crashEngines(count));
			}
			fleet.runUntil(DURATION_MS);
			boolean found = fleet.quarantined().contains(new Fingerprint(CrashingFleetSimulation.CRASHING_PART + 0));
			if (!found || fleet.soundRejectedShare() > 0) {
				wrong.add("seed " + seed + ": " + fleet.quarantined() + ", rejected " + fleet.soundRejectedShare()
						+ " crashes " + fleet.crashCount(CrashingFleetSimulation.CRASHING_PART + 0) + " late "
						+ fleet.lateSends());
			}
		}
		assertEquals(wrong, List.of());
	}

}
