package org.tallycart.core.crash;

import java.util.List;
import java.util.Map;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link Quarantine}, {@link RecentCrashReports} and {@link ServedRequests}.
 */
public class QuarantineTests {

	private static final Fingerprint A = new Fingerprint("a");

	private static final Fingerprint B = new Fingerprint("b");

	private static CrashReport report(String upstream, String... ids) {
		return CrashReport.of(upstream, 100,
				List.of(ids).stream().map((id) -> new Suspect(new Fingerprint(id.substring(0, 1)), id, 50)).toList());
	}

	private static ContentFingerprints request(Fingerprint fingerprint, Fingerprint... parts) {
		return new ContentFingerprints(fingerprint, List.of(parts));
	}

	@Test
	void requestIsQuarantinedForItsDuration() {
		Quarantine quarantine = new Quarantine();
		assertTrue(quarantine.add(A, 1_000));
		assertFalse(quarantine.add(A, 9_000), "no news");
		assertEquals(quarantine.remainingMs(A, 400), 600);
		assertEquals(quarantine.remainingMs(B, 400), 0);
		assertEquals(quarantine.remainingMs(A, 1_000), 0);
	}

	@Test
	void requestsInFlightAreNotified() {
		Quarantine quarantine = new Quarantine();
		int[] notified = new int[2];
		Runnable first = () -> notified[0]++;
		Runnable second = () -> notified[1]++;
		quarantine.addInFlight(request(A), first);
		quarantine.addInFlight(request(A), second);
		quarantine.addInFlight(request(B), () -> notified[0]--);
		quarantine.removeInFlight(request(A), second);
		quarantine.add(A, 1_000);
		assertEquals(notified, new int[] { 1, 0 });
	}

	/**
	 * The store is read before it contains what another VM reported; later an operator
	 * removes an entry.
	 */
	@Test
	void onlyEntriesRemovedFromTheStoreAreReleased() {
		Quarantine quarantine = new Quarantine();
		quarantine.add(A, 1_000);
		assertFalse(quarantine.replaceStored(Map.of()));
		assertEquals(quarantine.remainingMs(A, 0), 1_000);
		assertTrue(quarantine.replaceStored(Map.of(A, 1_000L, B, 2_000L)));
		assertEquals(quarantine.remainingMs(B, 0), 2_000);
		assertTrue(quarantine.replaceStored(Map.of(B, 2_000L)));
		assertEquals(quarantine.remainingMs(A, 0), 0);
	}

	/** A stored object is removed before it was read. */
	@Test
	void liftedRequestIsNotQuarantined() {
		Quarantine quarantine = new Quarantine();
		quarantine.add(A, 1_000);
		assertTrue(quarantine.lift(A));
		assertFalse(quarantine.lift(A));
		assertEquals(quarantine.remainingMs(A, 0), 0);
		assertTrue(quarantine.add(A, 2_000), "news again");
	}

	@Test
	void expireReturnsOnlyStoredRequests() {
		Quarantine quarantine = new Quarantine();
		quarantine.replaceStored(Map.of(A, 1_000L));
		quarantine.add(B, 1_000);
		assertEquals(quarantine.expire(999), List.of());
		assertEquals(quarantine.expire(1_000), List.of(A));
		assertEquals(quarantine.all(), Map.of());
	}

	/** Guards against relaying a report in a loop. */
	@Test
	void suspectsReportedBeforeAreNotNew() {
		RecentCrashReports reports = new RecentCrashReports();
		assertEquals(reports.add(report("u", "a1", "b1"), 100).orElseThrow().suspects().size(), 2);
		assertTrue(reports.add(report("u", "b1"), 110).isEmpty());
		assertEquals(reports.add(report("u", "b1", "a2"), 120).orElseThrow().suspects().size(), 1);
		assertEquals(reports.all().get(0).suspects().size(), 3);
	}

	@Test
	void completedRequestDoesNotBecomeASuspectAgain() {
		RecentCrashReports reports = new RecentCrashReports();
		reports.add(report("u", "a1", "b1"), 100);
		assertTrue(reports.removeSuspect(A, 200));
		assertFalse(reports.removeSuspect(A, 200), "once");
		assertTrue(reports.add(report("u", "a1"), 110).isEmpty());
		assertEquals(reports.all().get(0).suspects().size(), 1);
	}

	@Test
	void expiredReportsAreRemovedWithTheirSuspects() {
		RecentCrashReports reports = new RecentCrashReports();
		reports.add(report("u", "a1"), 100);
		reports.add(CrashReport.of("v", 70_000, List.of(new Suspect(B, "b1", 0))), 70_000);
		assertFalse(reports.removeSuspect(A, 200));
		assertEquals(reports.all().size(), 1);
	}

	@Test
	void servedSinceComparesWithTheCompletionTime() {
		ServedRequests served = new ServedRequests();
		served.add(A, 500);
		assertTrue(served.servedSince(A, 500));
		assertFalse(served.servedSince(A, 501));
		assertFalse(served.servedSince(B, 0));
	}

	@Test
	void oldestServedRequestsAreRemoved() {
		ServedRequests served = new ServedRequests();
		for (int i = 0; i < 3_000; i++) {
			served.add(new Fingerprint("f" + i), i);
		}
		assertFalse(served.servedSince(new Fingerprint("f0"), 0));
		assertTrue(served.servedSince(new Fingerprint("f2999"), 0));
	}

}
