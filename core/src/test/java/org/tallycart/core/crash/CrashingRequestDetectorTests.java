package org.tallycart.core.crash;

import java.util.List;
import java.util.Set;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link CrashingRequestDetector}: single cases, and fleets of 6 to 300 VMs in
 * virtual time.
 */
public class CrashingRequestDetectorTests {

	private static final int SEEDS = 30;

	/** Ends under six copies a second: 14 were counted. */
	private static final int MOST_ENDS = 15;

	private static final long END_MS = 20_000;

	private static final Fingerprint CRASHING = new Fingerprint(CrashingFleetSimulation.CRASHING);

	// A request, its id, and when it was sent.
	private static Suspect suspect(String content, String id, long sentMs) {
		return new Suspect(new Fingerprint(content), id, sentMs);
	}

	private static List<Fingerprint> found(CrashingRequestDetector of, long atMs) {
		return of.takeConfirmed(atMs + CrashingRequestDetector.CONFIRMATION_DELAY_MS);
	}

	@Test
	void threeEndsOneAfterTheOtherUnderTwoIdsNameARequest() {
		CrashingRequestDetector fresh = new CrashingRequestDetector();
		fresh.onReport(CrashReport.of("e1", 100, List.of(suspect("a", "r1", 0))), 130);
		fresh.onReport(CrashReport.of("e2", 200, List.of(suspect("a", "r1", 101))), 230);
		assertEquals(found(fresh, 230), List.of());
		fresh.onReport(CrashReport.of("e3", 900, List.of(suspect("a", "r2", 800))), 930);
		assertEquals(fresh.takeConfirmed(930), List.of(), "not before it could be cleared");
		assertEquals(found(fresh, 930), List.of(new Fingerprint("a")));
		assertEquals(found(fresh, 2_000), List.of(), "named once");
	}

	@DataProvider
	static Object[][] innocent() {
		return new Object[][] {
				{ "ends at the same moment", new long[] { 500, 500, 503 }, new long[] { 300, 400, 450 },
						new String[] { "r1", "r2", "r3" } },
				{ "one attempt of its caller", new long[] { 100, 200, 300 }, new long[] { 0, 101, 201 },
						new String[] { "r1", "r1", "r1" } },
				{ "two ends", new long[] { 100, 200, 200 }, new long[] { 0, 101, 101 },
						new String[] { "r1", "r2", "r2" } } };
	}

	@Test(dataProvider = "innocent")
	void whatMayBeBadLuckNamesNone(String name, long[] endedMs, long[] sentMs, String[] ids) {
		CrashingRequestDetector fresh = new CrashingRequestDetector();
		for (int i = 0; i < ids.length; i++) {
			String engine = (i > 0 && endedMs[i] == endedMs[i - 1] && sentMs[i] == sentMs[i - 1]) ? "e" + (i - 1)
					: "e" + i;
			fresh.onReport(CrashReport.of(engine, endedMs[i], List.of(suspect("a", ids[i], sentMs[i]))),
					endedMs[i] + 30);
		}
		assertEquals(found(fresh, 5_000), List.of(), name);
	}

	/** Pattern: another request is cut with it at each of its ends, and once more. */
	@Test
	void aRequestThatWasAtTheSameEndsIsNotNamedAndTheOneWithMoreEndsIs() {
		CrashingRequestDetector fresh = new CrashingRequestDetector();
		for (int i = 0; i < 3; i++) {
			fresh.onReport(
					CrashReport.of("e" + i, 1_000 + i * 500,
							List.of(suspect("a", "a" + i, 900 + i * 500), suspect("b", "b" + i, 900 + i * 500))),
					1_030 + i * 500);
		}
		assertEquals(found(fresh, 2_030), List.of(), "not told apart yet");
		fresh.onReport(CrashReport.of("e3", 3_000, List.of(suspect("a", "a3", 2_900))), 3_030);
		assertEquals(found(fresh, 3_030), List.of(new Fingerprint("a")));
		fresh.onReport(CrashReport.of("e4", 4_000, List.of(suspect("a", "a4", 3_900), suspect("b", "b4", 3_900))),
				4_030);
		assertEquals(found(fresh, 4_030), List.of(), "ends of a request that is named are held against no other");
	}

	@Test
	void aRequestThatIsAnsweredIsNotNamed() {
		CrashingRequestDetector fresh = new CrashingRequestDetector();
		for (int i = 0; i < 3; i++) {
			fresh.onReport(CrashReport.of("e" + i, 1_000 + i * 500, List.of(suspect("a", "a" + i, 900 + i * 500))),
					1_030 + i * 500);
		}
		fresh.onCleared(new Fingerprint("a"), 2_100);
		assertEquals(found(fresh, 2_100), List.of());
		assertEquals(fresh.crashCount(new Fingerprint("a")), 0);
	}

	@DataProvider
	static Object[][] fleets() {
		return new Object[][] { { 6, 8, 15 }, { 18, 24, 40 }, { 86, 98, 150 }, { 300, 300, 400 } };
	}

	/** Pattern: copies of one request, three a second, among a service's usual load. */
	@Test(dataProvider = "fleets")
	void oneRequestIsFoundAndNoOther(int vms, int engines, int perSecond) {
		int most = 0;
		for (int seed = 0; seed < SEEDS; seed++) {
			CrashingFleetSimulation fleet = new CrashingFleetSimulation(vms, engines, seed);
			fleet.traffic(perSecond, "other", false, END_MS);
			fleet.after(2_000, () -> fleet.traffic(3, CrashingFleetSimulation.CRASHING, true, END_MS));
			fleet.runUntil(END_MS);
			assertEquals(fleet.kept(), Set.of(CRASHING), "seed " + seed);
			assertEquals(fleet.lateSends(), 0, "seed " + seed);
			most = Math.max(most, fleet.ends(CrashingFleetSimulation.CRASHING));
		}
		assertTrue(most <= MOST_ENDS, most + " ends");
	}

	/** Pattern: copies of two requests at the same time. */
	@Test(dataProvider = "fleets")
	void twoRequestsAreFoundAndNoOther(int vms, int engines, int perSecond) {
		for (int seed = 0; seed < SEEDS; seed++) {
			CrashingFleetSimulation fleet = new CrashingFleetSimulation(vms, engines, seed);
			fleet.traffic(perSecond, "other", false, END_MS);
			fleet.after(2_000, () -> fleet.traffic(2, CrashingFleetSimulation.CRASHING, true, END_MS));
			fleet.after(2_500, () -> fleet.traffic(2, CrashingFleetSimulation.CRASHING + "2", true, END_MS));
			fleet.runUntil(END_MS);
			assertEquals(fleet.kept(), Set.of(CRASHING, new Fingerprint(CrashingFleetSimulation.CRASHING + "2")),
					"seed " + seed + fleet.kept());
		}
	}

	/** Pattern: the same, and a third of the load is one request that many send. */
	@Test(dataProvider = "fleets")
	void aRequestThatManySendIsNotTakenForIt(int vms, int engines, int perSecond) {
		for (int seed = 0; seed < SEEDS; seed++) {
			CrashingFleetSimulation fleet = new CrashingFleetSimulation(vms, engines, seed);
			fleet.traffic(perSecond * 2 / 3, "other", false, END_MS);
			fleet.traffic(perSecond / 3, "many", true, END_MS);
			fleet.after(2_000, () -> fleet.traffic(3, CrashingFleetSimulation.CRASHING, true, END_MS));
			fleet.runUntil(END_MS);
			assertEquals(fleet.kept(), Set.of(CRASHING), "seed " + seed);
		}
	}

	@DataProvider
	static Object[][] losses() {
		return new Object[][] { { 6, 8, 15, 2, 3_500 }, { 6, 8, 15, 1, 1_000 }, { 18, 24, 40, 6, 3_500 },
				{ 86, 98, 150, 25, 3_500 }, { 86, 98, 150, 1, 100 }, { 300, 300, 400, 75, 3_500 } };
	}

	/**
	 * Pattern: engines end by themselves, a quarter at once or one after the other, while
	 * others go on; nobody did it.
	 */
	@Test(dataProvider = "losses")
	void enginesThatEndByThemselvesNameNone(int vms, int engines, int perSecond, int lost, int everyMs) {
		for (int seed = 0; seed < SEEDS; seed++) {
			CrashingFleetSimulation fleet = new CrashingFleetSimulation(vms, engines, seed);
			fleet.traffic(perSecond * 2 / 3, "other", false, END_MS);
			fleet.traffic(perSecond / 3, "many", true, END_MS);
			for (int at = 2_000; at < END_MS; at += everyMs) {
				fleet.after(at, () -> fleet.loseEngines(lost));
			}
			fleet.runUntil(END_MS);
			assertEquals(fleet.kept(), Set.of(), "seed " + seed + fleet.kept());
		}
	}

}
