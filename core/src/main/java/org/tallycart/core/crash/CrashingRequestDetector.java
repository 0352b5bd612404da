package org.tallycart.core.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Detects requests that crash upstreams among all requests that were in flight at
 * upstreams when they crashed.
 * <p>
 * A request is confirmed as crashing if it was sent to three upstreams one after the
 * other, each time after the previous one had crashed, under at least two request ids, no
 * other request was involved in as many of these crashes, and no VM reports within the
 * confirmation delay that it has completed the request since shortly before the first of
 * them. Simultaneous crashes, such as the loss of a failure domain, therefore confirm no
 * request, and neither does sharing upstreams with a crashing request or sending a
 * request that succeeds elsewhere.
 * <p>
 * Invariant: a crash that involves a confirmed request counts against no other request.
 * Not thread-safe: confined to one event loop.
 *
 * @since 0.1
 */
public final class CrashingRequestDetector {

	/** Time for VMs to report that they have completed a suspect, in milliseconds. */
	public static final long CONFIRMATION_DELAY_MS = 200;

	/** Minimum number of consecutive crashes that confirm a request. */
	private static final int MIN_CRASHES = 3;

	/**
	 * Minimum number of request ids of a confirmed request. A single attempt may be
	 * involved by coincidence, and does no further harm unless the caller retries it.
	 */
	private static final int MIN_REQUEST_IDS = 2;

	/**
	 * Tolerance for a request that was sent before a crash was reported to count as sent
	 * after it, in milliseconds. Reports of different VMs have different delays.
	 */
	private static final long REPORT_DELAY_TOLERANCE_MS = 10;

	/**
	 * Maximum time between crashes that count as one event, in milliseconds. An event
	 * that affects several upstreams, such as the loss of a failure domain, is not caused
	 * by a request that was in flight at only one of them.
	 */
	static final long SIMULTANEOUS_MS = 20;

	/**
	 * Number of unrelated crashes that raises the required number of consecutive crashes
	 * by one, because frequent unrelated crashes make coincidences likely.
	 */
	private static final int UNRELATED_CRASHES_PER_EXTRA = 5;

	/** Window in which unrelated crashes are counted, in milliseconds. */
	private static final long UNRELATED_WINDOW_MS = 10_000;

	/** Retention time of a crash, in milliseconds. */
	private static final long RETENTION_MS = 600_000;

	/** Maximum number of retained crashes; the oldest are removed first. */
	private static final int MAX_CRASHES = 1_000;

	/**
	 * Time after a request was completed in which it is no suspect, in milliseconds. Long
	 * enough that a request which many callers send stays cleared while crashes hold up
	 * requests; a request whose upstreams have changed since is a suspect after it.
	 */
	static final long CLEARED_MS = 10_000;

	/**
	 * Maximum number of confirmed requests within the retention time. Above it, the
	 * upstreams themselves are the likely cause, so that refusing requests would not
	 * help.
	 */
	private static final int MAX_CONFIRMED = 100;

	private final Predicate<Fingerprint> quarantined;

	private final Map<String, Crash> crashes = new LinkedHashMap<>();

	private final Map<Fingerprint, List<Crash>> crashesBySuspect = new HashMap<>();

	private final ClearedSuspects cleared = new ClearedSuspects(CLEARED_MS);

	private final Map<Fingerprint, Long> confirmed = new HashMap<>();

	private final Map<Fingerprint, Long> confirmationDueMs = new LinkedHashMap<>();

	/** Create a detector while no request is quarantined. */
	public CrashingRequestDetector() {
		this((request) -> false);
	}

	/**
	 * Create a detector.
	 * @param quarantined returns whether a request is quarantined already
	 */
	public CrashingRequestDetector(Predicate<Fingerprint> quarantined) {
		this.quarantined = quarantined;
	}

	/**
	 * Add a report.
	 * @param report a VM's report of an upstream crash
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 * @return the new suspects, to be confirmed unless they are cleared first; all VMs
	 * have to be asked whether they have completed them
	 */
	public List<Fingerprint> onReport(CrashReport report, long nowMs) {
		expire(nowMs);
		Crash crash = this.crashes.computeIfAbsent(report.incarnation(), (key) -> new Crash(report.endedMs()));
		for (Suspect suspect : report.suspects()) {
			if (suspect.isAnswered()) {
				removeWaiting(crash);
			}
			if (!this.cleared.contains(suspect.fingerprint(), crash.crashedMs)
					&& suspect.isPossibleCause(crash.begun)) {
				add(crash, suspect);
			}
		}
		List<Fingerprint> newSuspects = new ArrayList<>();
		for (Fingerprint suspect : crash.sentMs.keySet()) {
			if (meetsCriteria(suspect)
					&& this.confirmationDueMs.putIfAbsent(suspect, nowMs + CONFIRMATION_DELAY_MS) == null) {
				newSuspects.add(suspect);
			}
		}
		return newSuspects;
	}

	/**
	 * Return from when on a suspect must have been completed to be cleared.
	 * @param fingerprint the request
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 * @return the time on the monotonic clock, in milliseconds
	 */
	public long clearedFromMs(Fingerprint fingerprint, long nowMs) {
		return this.crashesBySuspect.getOrDefault(fingerprint, List.of())
			.stream()
			.mapToLong((crash) -> crash.crashedMs)
			.min()
			.orElse(nowMs) - CLEARED_MS;
	}

	// Once the upstream had begun to answer a suspect, those that still waited did not
	// crash it.
	private void removeWaiting(Crash crash) {
		if (!crash.begun) {
			crash.begun = true;
			crash.sentMs.keySet().forEach((suspect) -> removeFrom(suspect, crash));
			crash.sentMs.clear();
			crash.requestIds.clear();
		}
	}

	private void add(Crash crash, Suspect suspect) {
		Fingerprint fingerprint = suspect.fingerprint();
		if (!crash.sentMs.containsKey(fingerprint)) {
			this.crashesBySuspect.computeIfAbsent(fingerprint, (key) -> new ArrayList<>()).add(crash);
		}
		crash.sentMs.merge(fingerprint, suspect.sentMs(), Math::max);
		crash.requestIds.computeIfAbsent(fingerprint, (key) -> new HashSet<>()).add(suspect.requestId());
	}

	private void expire(long nowMs) {
		this.cleared.expire(nowMs);
		this.confirmed.values().removeIf((at) -> nowMs - at > RETENTION_MS);
		List<String> expired = new ArrayList<>();
		this.crashes.forEach((incarnation, crash) -> {
			if (nowMs - crash.crashedMs > RETENTION_MS || this.crashes.size() - expired.size() >= MAX_CRASHES) {
				expired.add(incarnation);
			}
		});
		expired.forEach(this::removeCrash);
	}

	/**
	 * Remove the crashes that have another cause.
	 * @param explained returns whether the crash of an incarnation has another cause
	 */
	public void removeCrashesIf(Predicate<String> explained) {
		List.copyOf(this.crashes.keySet()).stream().filter(explained).forEach(this::removeCrash);
	}

	/**
	 * Remove a crash that has another cause.
	 * @param incarnation the incarnation of the upstream that crashed
	 */
	public void removeCrash(String incarnation) {
		Crash crash = this.crashes.remove(incarnation);
		if (crash != null) {
			crash.sentMs.keySet().forEach((suspect) -> removeFrom(suspect, crash));
		}
	}

	private void removeFrom(Fingerprint suspect, Crash crash) {
		List<Crash> crashesOfSuspect = this.crashesBySuspect.getOrDefault(suspect, new ArrayList<>());
		crashesOfSuspect.remove(crash);
		if (crashesOfSuspect.isEmpty()) {
			this.crashesBySuspect.remove(suspect);
		}
	}

	/**
	 * Record that a request was completed, and so was involved in the crashes until then,
	 * and in those shortly after, only by coincidence.
	 * @param fingerprint the request
	 * @param atMs when that was, on the monotonic clock, in milliseconds
	 */
	public void onCompleted(Fingerprint fingerprint, long atMs) {
		this.cleared.onServed(fingerprint, atMs);
		for (Crash crash : List.copyOf(this.crashesBySuspect.getOrDefault(fingerprint, List.of()))) {
			if (this.cleared.contains(fingerprint, crash.crashedMs)) {
				crash.sentMs.remove(fingerprint);
				crash.requestIds.remove(fingerprint);
				removeFrom(fingerprint, crash);
			}
		}
		if (!this.crashesBySuspect.containsKey(fingerprint)) {
			this.confirmationDueMs.remove(fingerprint);
		}
	}

	/**
	 * Remove the requests whose confirmation is due, and return those that are confirmed
	 * as crashing.
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 * @return the newly confirmed requests
	 */
	public List<Fingerprint> takeConfirmed(long nowMs) {
		List<Fingerprint> found = new ArrayList<>();
		for (Fingerprint suspect : List.copyOf(this.confirmationDueMs.keySet())) {
			if (nowMs < this.confirmationDueMs.getOrDefault(suspect, nowMs)) {
				continue;
			}
			this.confirmationDueMs.remove(suspect);
			if (meetsCriteria(suspect) && this.confirmed.size() < MAX_CONFIRMED) {
				this.confirmed.put(suspect, nowMs);
				found.add(suspect);
			}
		}
		return found;
	}

	/**
	 * Return the number of crashes that involved a request.
	 * @param fingerprint the request
	 * @return the count
	 */
	public int crashCount(Fingerprint fingerprint) {
		return this.crashesBySuspect.getOrDefault(fingerprint, List.of()).size();
	}

	private boolean meetsCriteria(Fingerprint suspect) {
		List<Crash> crashesOfSuspect = this.crashesBySuspect.getOrDefault(suspect, List.of());
		if (crashesOfSuspect.size() < MIN_CRASHES || isConfirmed(suspect)) {
			return false;
		}
		int total = consecutiveCrashes(suspect, unexplained(crashesOfSuspect));
		List<Crash> ownCrashes = unexplained(crashesOfSuspect).stream()
			.filter((crash) -> hasMostCrashes(crash, suspect, total) && isInAllSimultaneousCrashes(crash, suspect))
			.toList();
		return consecutiveCrashes(suspect, ownCrashes) >= MIN_CRASHES
				+ unrelatedCrashes(suspect, ownCrashes) / UNRELATED_CRASHES_PER_EXTRA
				&& requestIdCount(suspect, ownCrashes) >= MIN_REQUEST_IDS;
	}

	private boolean isConfirmed(Fingerprint request) {
		return this.confirmed.containsKey(request) || this.quarantined.test(request);
	}

	private List<Crash> unexplained(List<Crash> crashesOfSuspect) {
		return crashesOfSuspect.stream()
			.filter((crash) -> crash.sentMs.keySet().stream().noneMatch(this::isConfirmed))
			.sorted(Comparator.comparingLong((crash) -> crash.crashedMs))
			.toList();
	}

	// Returns whether no other request of this crash was involved in as many crashes.
	private boolean hasMostCrashes(Crash crash, Fingerprint suspect, int count) {
		return crash.sentMs.keySet()
			.stream()
			.filter((other) -> !other.equals(suspect))
			.noneMatch((other) -> this.crashesBySuspect.getOrDefault(other, List.of()).size() >= count
					&& consecutiveCrashes(other,
							unexplained(this.crashesBySuspect.getOrDefault(other, List.of()))) >= count);
	}

	private boolean isInAllSimultaneousCrashes(Crash crash, Fingerprint suspect) {
		return this.crashes.values()
			.stream()
			.filter((other) -> Math.abs(other.crashedMs - crash.crashedMs) <= SIMULTANEOUS_MS)
			.allMatch((other) -> other.sentMs.containsKey(suspect));
	}

	// Counts recent crash events without the request, up to its last crash.
	private long unrelatedCrashes(Fingerprint suspect, List<Crash> ownCrashes) {
		if (ownCrashes.isEmpty()) {
			return 0;
		}
		long untilMs = ownCrashes.get(ownCrashes.size() - 1).crashedMs;
		return unexplained(List.copyOf(this.crashes.values())).stream()
			.filter((crash) -> crash.crashedMs <= untilMs && crash.crashedMs > untilMs - UNRELATED_WINDOW_MS)
			.filter((crash) -> !crash.sentMs.containsKey(suspect))
			.mapToLong((crash) -> crash.crashedMs / SIMULTANEOUS_MS)
			.distinct()
			.count();
	}

	private static int requestIdCount(Fingerprint suspect, List<Crash> crashList) {
		Set<String> ids = new HashSet<>();
		crashList.forEach((crash) -> ids.addAll(crash.requestIds.getOrDefault(suspect, Set.of())));
		return ids.size();
	}

	// Counts crashes, in order, to which the request was sent after the previous one.
	private static int consecutiveCrashes(Fingerprint suspect, List<Crash> crashList) {
		int count = 0;
		long lastCrashMs = Long.MIN_VALUE / 2;
		for (Crash crash : crashList) {
			if (crash.sentMs.getOrDefault(suspect, Long.MIN_VALUE) + REPORT_DELAY_TOLERANCE_MS >= lastCrashMs) {
				count++;
				lastCrashMs = crash.crashedMs;
			}
		}
		return count;
	}

	/** A crash of an upstream and the suspects involved in it. */
	private static final class Crash {

		private final long crashedMs;

		private final Map<Fingerprint, Long> sentMs = new HashMap<>();

		private final Map<Fingerprint, Set<String>> requestIds = new HashMap<>();

		private boolean begun;

		Crash(long crashedMs) {
			this.crashedMs = crashedMs;
		}

	}

}
