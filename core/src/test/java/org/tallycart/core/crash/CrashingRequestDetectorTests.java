package org.tallycart.core.crash;

import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link CrashingRequestDetector}: single cases, and simulated fleets of 6 to
 * 300 VMs in virtual time.
 */
public class CrashingRequestDetectorTests {

	private static final int SEEDS = 30;

	/** Maximum number of crashes until the request is quarantined. */
	private static final int MAX_CRASHES = 15;

	private static final long DURATION_MS = 20_000;

	private static final Fingerprint CRASHING = new Fingerprint(CrashingFleetSimulation.CRASHING);

	// Creates a suspect with the given content, request id and send time.
	private static Suspect suspect(String content, String id, long sentMs) {
		return new Suspect(new Fingerprint(content), id, sentMs);
	}

	private static List<Fingerprint> confirmed(CrashingRequestDetector detector, long atMs) {
		return detector.takeConfirmed(atMs + CrashingRequestDetector.CONFIRMATION_DELAY_MS);
	}

	@Test
	void threeConsecutiveCrashesUnderTwoIdsConfirmARequest() {
		CrashingRequestDetector detector = new CrashingRequestDetector();
		detector.onReport(CrashReport.of("e1", 100, List.of(suspect("a", "r1", 0))), 130);
		detector.onReport(CrashReport.of("e2", 200, List.of(suspect("a", "r1", 101))), 230);
		assertEquals(confirmed(detector, 230), List.of());
		detector.onReport(CrashReport.of("e3", 900, List.of(suspect("a", "r2", 800))), 930);
		assertEquals(detector.takeConfirmed(930), List.of(), "not before it could be cleared");
		assertEquals(confirmed(detector, 930), List.of(new Fingerprint("a")));
		assertEquals(confirmed(detector, 2_000), List.of(), "named once");
	}

	@DataProvider
	static Object[][] coincidences() {
		return new Object[][] {
				{ "ends at the same moment", new long[] { 500, 500, 503 }, new long[] { 300, 400, 450 },
						new String[] { "r1", "r2", "r3" } },
				{ "one attempt of its caller", new long[] { 100, 200, 300 }, new long[] { 0, 101, 201 },
						new String[] { "r1", "r1", "r1" } },
				{ "two ends", new long[] { 100, 200, 200 }, new long[] { 0, 101, 101 },
						new String[] { "r1", "r2", "r2" } } };
	}

	@Test(dataProvider = "coincidences")
	void coincidencesConfirmNoRequest(String name, long[] endedMs, long[] sentMs, String[] ids) {
		CrashingRequestDetector detector = new CrashingRequestDetector();
		for (int i = 0; i < ids.length; i++) {
			String engine = (i > 0 && endedMs[i] == endedMs[i - 1] && sentMs[i] == sentMs[i - 1]) ? "e" + (i - 1)
					: "e" + i;
			detector.onReport(CrashReport.of(engine, endedMs[i], List.of(suspect("a", ids[i], sentMs[i]))),
					endedMs[i] + 30);
		}
		assertEquals(confirmed(detector, 5_000), List.of(), name);
	}

	/**
	 * Two requests are interrupted by the same crashes; then one of them is involved in
	 * one more.
	 */
	@Test
	void onlyTheRequestWithMoreCrashesIsConfirmed() {
		CrashingRequestDetector detector = new CrashingRequestDetector();
		for (int i = 0; i < 3; i++) {
			detector.onReport(
					CrashReport.of("e" + i, 1_000 + i * 500,
							List.of(suspect("a", "a" + i, 900 + i * 500), suspect("b", "b" + i, 900 + i * 500))),
					1_030 + i * 500);
		}
		assertEquals(confirmed(detector, 2_030), List.of(), "not told apart yet");
		detector.onReport(CrashReport.of("e3", 3_000, List.of(suspect("a", "a3", 2_900))), 3_030);
		assertEquals(confirmed(detector, 3_030), List.of(new Fingerprint("a")));
		detector.onReport(CrashReport.of("e4", 4_000, List.of(suspect("a", "a4", 3_900), suspect("b", "b4", 3_900))),
				4_030);
		assertEquals(confirmed(detector, 4_030), List.of(),
				"ends of a request that is named are held against no other");
	}

	@Test
	void completedRequestIsNotConfirmed() {
		CrashingRequestDetector detector = new CrashingRequestDetector();
		for (int i = 0; i < 3; i++) {
			detector.onReport(CrashReport.of("e" + i, 1_000 + i * 500, List.of(suspect("a", "a" + i, 900 + i * 500))),
					1_030 + i * 500);
		}
		detector.onCompleted(new Fingerprint("a"), 2_100);
		assertEquals(confirmed(detector, 2_100), List.of());
		assertEquals(detector.crashCount(new Fingerprint("a")), 0);
	}

	// Guards against the evidence of a request that was completed long ago.
	@Test
	void aRequestCompletedLongBeforeIsConfirmed() {
		CrashingRequestDetector detector = new CrashingRequestDetector();
		Fingerprint request = new Fingerprint("a");
		detector.onCompleted(request, 1_000);
		long[] endedMs = LongStream.iterate(1_000 + CrashingRequestDetector.CLEARED_MS - 500, (at) -> at + 400)
			.limit(5)
			.toArray();
		for (int i = 0; i < endedMs.length; i++) {
			assertEquals(detector.takeConfirmed(endedMs[i]), List.of(), "cleared of the first two");
			detector.onReport(CrashReport.of("e" + i, endedMs[i], List.of(suspect("a", "a" + i, endedMs[i] - 50))),
					endedMs[i] + 30);
		}
		assertEquals(detector.crashCount(request), 3);
		assertEquals(confirmed(detector, endedMs[4] + 30), List.of(request));
	}

	@DataProvider
	static Object[][] fleets() {
		return new Object[][] { { 6, 8, 15 }, { 18, 24, 40 }, { 86, 98, 150 }, { 300, 300, 400 } };
	}

	/** Three copies a second of a crashing request among other traffic. */
	@Test(dataProvider = "fleets")
	void oneCrashingRequestIsConfirmedAndNoOther(int vms, int engines, int perSecond) {
		int maxCrashes = 0;
		for (int seed = 0; seed < SEEDS; seed++) {
			CrashingFleetSimulation fleet = new CrashingFleetSimulation(vms, engines, seed);
			fleet.startTraffic(perSecond, "other", false, DURATION_MS);
			fleet.schedule(2_000, () -> fleet.startTraffic(3, CrashingFleetSimulation.CRASHING, true, DURATION_MS));
			fleet.runUntil(DURATION_MS);
			assertEquals(fleet.quarantined(), Set.of(CRASHING), "seed " + seed);
			assertEquals(fleet.lateSends(), 0, "seed " + seed);
			maxCrashes = Math.max(maxCrashes, fleet.crashCount(CrashingFleetSimulation.CRASHING));
		}
		assertTrue(maxCrashes <= MAX_CRASHES, maxCrashes + " ends");
	}

	/** Copies of two crashing requests at the same time. */
	@Test(dataProvider = "fleets")
	void twoCrashingRequestsAreConfirmedAndNoOther(int vms, int engines, int perSecond) {
		for (int seed = 0; seed < SEEDS; seed++) {
			CrashingFleetSimulation fleet = new CrashingFleetSimulation(vms, engines, seed);
			fleet.startTraffic(perSecond, "other", false, DURATION_MS);
			fleet.schedule(2_000, () -> fleet.startTraffic(2, CrashingFleetSimulation.CRASHING, true, DURATION_MS));
			fleet.schedule(2_500,
					() -> fleet.startTraffic(2, CrashingFleetSimulation.CRASHING + "2", true, DURATION_MS));
			fleet.runUntil(DURATION_MS);
			assertEquals(fleet.quarantined(), Set.of(CRASHING, new Fingerprint(CrashingFleetSimulation.CRASHING + "2")),
					"seed " + seed + fleet.quarantined());
		}
	}

	/** A third of the other traffic consists of copies of one harmless request. */
	@Test(dataProvider = "fleets")
	void frequentHarmlessRequestIsNotConfirmed(int vms, int engines, int perSecond) {
		for (int seed = 0; seed < SEEDS; seed++) {
			CrashingFleetSimulation fleet = new CrashingFleetSimulation(vms, engines, seed);
			fleet.startTraffic(perSecond * 2 / 3, "other", false, DURATION_MS);
			fleet.startTraffic(perSecond / 3, "many", true, DURATION_MS);
			fleet.schedule(2_000, () -> fleet.startTraffic(3, CrashingFleetSimulation.CRASHING, true, DURATION_MS));
			fleet.runUntil(DURATION_MS);
			assertEquals(fleet.quarantined(), Set.of(CRASHING), "seed " + seed);
		}
	}

	@DataProvider
	static Object[][] losses() {
		return new Object[][] { { 6, 8, 15, 2, 3_500 }, { 6, 8, 15, 1, 1_000 }, { 18, 24, 40, 6, 3_500 },
				{ 86, 98, 150, 25, 3_500 }, { 86, 98, 150, 1, 100 }, { 300, 300, 400, 75, 3_500 } };
	}

	/**
	 * Guards against confirming a request when engines crash for other reasons, several
	 * at once or one after the other.
	 */
	@Test(dataProvider = "losses")
	void unrelatedCrashesConfirmNoRequest(int vms, int engines, int perSecond, int count, int intervalMs) {
		for (int seed = 0; seed < SEEDS; seed++) {
			CrashingFleetSimulation fleet = new CrashingFleetSimulation(vms, engines, seed);
			fleet.startTraffic(perSecond * 2 / 3, "other", false, DURATION_MS);
			fleet.startTraffic(perSecond / 3, "many", true, DURATION_MS);
			for (int at = 2_000; at < DURATION_MS; at += intervalMs) {
				fleet.schedule(at, () -> fleet.crashEngines(count));
			}
			fleet.runUntil(DURATION_MS);
			assertEquals(fleet.quarantined(), Set.of(), "seed " + seed + fleet.quarantined());
		}
	}

}
