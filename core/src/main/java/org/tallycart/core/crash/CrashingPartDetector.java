package org.tallycart.core.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Detects parts of prompts that crash the upstreams that begin to answer requests with
 * them, whatever else these requests hold.
 * <p>
 * A part is confirmed as crashing if requests with it, not all of the same content, were
 * suspects of four crashes at different times, no upstream has read the part and gone on
 * since shortly before the first of them, and neither another part nor a confirmed
 * request explains the crashes as well. Of parts that only occur together, the one that
 * the fewest requests share is confirmed.
 * <p>
 * Invariant: a crash that involves a confirmed part counts against no other part. Not
 * thread-safe: confined to one event loop.
 *
 * @since 0.1
 */
public final class CrashingPartDetector {

	/**
	 * Time after an upstream has read a part and gone on in which the part is no suspect,
	 * in milliseconds. Long enough that parts which many requests share stay cleared
	 * while crashes hold up requests; a part whose upstreams have changed since is a
	 * suspect after it.
	 */
	public static final long CLEARED_MS = 60_000;

	/**
	 * Maximum number of simultaneous crashes without the part. One may be the effect of
	 * another part.
	 */
	private static final int MAX_SIMULTANEOUS_OTHERS = 1;

	/**
	 * Number of other simultaneous crashes from which on none of them is attributed to a
	 * part, whatever the upstreams were reading.
	 */
	private static final int MIN_OF_MASS_EVENT = 8;

	/** Minimum number of crashes that confirm a part. */
	private static final int MIN_CRASHES = 4;

	/**
	 * Number of crashes without the part that raises the required number by one, since
	 * crashes of other causes make coincidences likely.
	 */
	private static final int UNRELATED_CRASHES_PER_EXTRA = 5;

	/** Maximum by which crashes without the part raise the required number. */
	private static final int MAX_EXTRA_CRASHES = 4;

	/**
	 * Minimum number of crashes that no other part explains as well, among those that
	 * confirm a part.
	 */
	private static final int MIN_EXCLUSIVE_CRASHES = 2;

	/** Minimum number of different requests that confirm a part. */
	private static final int MIN_CONTENTS = 2;

	/**
	 * Minimum number of crashes that the request involved in most of them was not
	 * involved in.
	 */
	private static final int MIN_OTHER_CRASHES = 2;

	/** Minimum number of crashes, and of contents, of a part that is a likely cause. */
	private static final int MIN_OF_LIKELY_CAUSE = 3;

	/** Retention time of a crash, in milliseconds. */
	private static final long RETENTION_MS = 600_000;

	/** Maximum number of retained crashes; the oldest are removed first. */
	private static final int MAX_CRASHES = 200;

	/**
	 * Maximum number of confirmed parts within the retention time. Above it, the
	 * upstreams themselves are the likely cause.
	 */
	private static final int MAX_CONFIRMED = 20;

	private final Predicate<Fingerprint> quarantined;

	private final Map<String, Crash> crashes = new LinkedHashMap<>();

	private final Map<Fingerprint, List<Crash>> crashesByPart = new HashMap<>();

	private final ClearedSuspects cleared = new ClearedSuspects(CLEARED_MS);

	private final Map<Fingerprint, Long> confirmed = new HashMap<>();

	private final Map<Fingerprint, Long> confirmationDueMs = new LinkedHashMap<>();

	// Results for the current crashes.
	private final Map<Fingerprint, Boolean> likelyCauses = new HashMap<>();

	private final Map<Fingerprint, List<Crash>> attributableCrashes = new HashMap<>();

	/**
	 * Create a detector.
	 * @param quarantined returns whether a part or a request is quarantined already
	 */
	public CrashingPartDetector(Predicate<Fingerprint> quarantined) {
		this.quarantined = quarantined;
	}

	/**
	 * Add a report.
	 * @param report a VM's report of an upstream crash
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 * @return the new suspects, to be confirmed unless they are cleared first; all VMs
	 * have to be asked whether upstreams have read them
	 */
	public List<Fingerprint> onReport(CrashReport report, long nowMs) {
		expire(nowMs);
		Crash crash = this.crashes.computeIfAbsent(report.incarnation(), (key) -> createCrash(report.endedMs()));
		if (!report.readParts().isEmpty()) {
			removeWaiting(crash);
		}
		crash.readParts.addAll(report.readParts());
		report.readParts().stream().filter(crash.uses::containsKey).forEach((part) -> removeUse(part, crash));
		report.suspects().forEach((suspect) -> add(crash, suspect));
		return crash.isOfMassEvent() ? List.of() : findNewSuspects(crash, nowMs);
	}

	private List<Fingerprint> findNewSuspects(Crash crash, long nowMs) {
		List<Fingerprint> newSuspects = new ArrayList<>();
		forgetResults();
		for (Fingerprint part : crash.uses.keySet()) {
			if (!this.confirmationDueMs.containsKey(part) && meetsCriteria(part)) {
				this.confirmationDueMs.put(part, nowMs + CrashingRequestDetector.CONFIRMATION_DELAY_MS);
				newSuspects.add(part);
			}
		}
		return newSuspects;
	}

	private Crash createCrash(long crashedMs) {
		Crash created = new Crash(crashedMs);
		for (Crash other : this.crashes.values()) {
			if (other.isSimultaneous(created)) {
				other.simultaneousCrashes++;
				created.simultaneousCrashes++;
			}
		}
		return created;
	}

	private void add(Crash crash, Suspect suspect) {
		if (suspect.isAnswered()) {
			removeWaiting(crash);
		}
		if (suspect.isPossibleCause(crash.answering)) {
			crash.requests.add(suspect.fingerprint());
			addParts(crash, suspect);
		}
	}

	// Once the upstream had begun to answer a request, those that still waited did not
	// crash it.
	private void removeWaiting(Crash crash) {
		if (!crash.answering) {
			crash.answering = true;
			crash.requests.clear();
			List.copyOf(crash.uses.keySet()).forEach((part) -> removeUse(part, crash));
		}
	}

	private void addParts(Crash crash, Suspect suspect) {
		for (int depth = 0; depth < suspect.parts().size(); depth++) {
			Fingerprint part = suspect.parts().get(depth);
			if (!this.cleared.contains(part, crash.crashedMs) && !crash.readParts.contains(part)) {
				if (!crash.uses.containsKey(part)) {
					this.crashesByPart.computeIfAbsent(part, (key) -> new ArrayList<>()).add(crash);
				}
				crash.uses.computeIfAbsent(part, (key) -> new PartUse()).add(suspect, depth);
			}
		}
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

	private void removeCrash(String incarnation) {
		Crash crash = this.crashes.remove(incarnation);
		if (crash != null) {
			List.copyOf(crash.uses.keySet()).forEach((part) -> removeUse(part, crash));
		}
	}

	private void removeUse(Fingerprint part, Crash crash) {
		crash.uses.remove(part);
		List<Crash> crashesOfPart = crashesOf(part);
		crashesOfPart.remove(crash);
		if (crashesOfPart.isEmpty()) {
			this.crashesByPart.remove(part);
		}
	}

	/**
	 * Record that an upstream has read a part and gone on, so that the part did not cause
	 * the crashes until then, nor those shortly after.
	 * @param part the part
	 * @param atMs when that was, on the monotonic clock, in milliseconds
	 */
	public void onServed(Fingerprint part, long atMs) {
		this.cleared.onServed(part, atMs);
		for (Crash crash : List.copyOf(crashesOf(part))) {
			if (this.cleared.contains(part, crash.crashedMs)) {
				removeUse(part, crash);
			}
		}
		if (crashesOf(part).isEmpty()) {
			this.confirmationDueMs.remove(part);
		}
	}

	/**
	 * Return from when on a suspect must have been served to be cleared.
	 * @param part the part
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 * @return the time on the monotonic clock, in milliseconds
	 */
	public long clearedFromMs(Fingerprint part, long nowMs) {
		return crashesOf(part).stream().mapToLong((crash) -> crash.crashedMs).min().orElse(nowMs) - CLEARED_MS;
	}

	/**
	 * Return whether a confirmed part was involved in a crash.
	 * @param incarnation the incarnation of the upstream that crashed
	 * @return true if it was
	 */
	public boolean isExplained(String incarnation) {
		Crash crash = this.crashes.get(incarnation);
		return crash != null && crash.uses.keySet().stream().anyMatch(this::isConfirmed);
	}

	/**
	 * Return whether a fingerprint is that of a part which is a suspect.
	 * @param fingerprint the fingerprint
	 * @return true if it is
	 */
	public boolean isSuspect(Fingerprint fingerprint) {
		return this.crashesByPart.containsKey(fingerprint);
	}

	/**
	 * Remove the parts whose confirmation is due, and return those that are confirmed as
	 * crashing.
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 * @return the newly confirmed parts
	 */
	public List<Fingerprint> takeConfirmed(long nowMs) {
		List<Fingerprint> found = new ArrayList<>();
		forgetResults();
		for (Fingerprint part : List.copyOf(this.confirmationDueMs.keySet())) {
			if (nowMs < this.confirmationDueMs.getOrDefault(part, nowMs)) {
				continue;
			}
			this.confirmationDueMs.remove(part);
			if (meetsCriteria(part) && this.confirmed.size() < MAX_CONFIRMED) {
				this.confirmed.put(part, nowMs);
				found.add(part);
				forgetResults();
			}
		}
		return found;
	}

	/**
	 * Return the number of crashes that involved a part.
	 * @param part the part
	 * @return the count
	 */
	public int crashCount(Fingerprint part) {
		return crashesOf(part).size();
	}

	private void forgetResults() {
		this.likelyCauses.clear();
		this.attributableCrashes.clear();
	}

	private List<Crash> crashesOf(Fingerprint part) {
		return this.crashesByPart.getOrDefault(part, new ArrayList<>());
	}

	private boolean isConfirmed(Fingerprint fingerprint) {
		return this.confirmed.containsKey(fingerprint) || this.quarantined.test(fingerprint);
	}

	private boolean meetsCriteria(Fingerprint part) {
		if (crashesOf(part).size() < MIN_CRASHES || isConfirmed(part)) {
			return false;
		}
		List<Crash> ownCrashes = attributable(part);
		int events = eventCount(part, ownCrashes);
		long extra = extraCrashes(part, ownCrashes);
		return !isExplainedByDeeperParts(part, ownCrashes) && events >= MIN_CRASHES + extra
				&& contentCount(part, ownCrashes) >= MIN_CONTENTS + extra
				&& events - mostEventsOfOneContent(part, ownCrashes) >= MIN_OTHER_CRASHES
				&& eventCount(part, withoutRivals(part, ownCrashes, events)) >= MIN_EXCLUSIVE_CRASHES;
	}

	// Returns the crashes that nothing explains better than the part, in order.
	private List<Crash> attributable(Fingerprint part) {
		return this.attributableCrashes.computeIfAbsent(part, this::findAttributable);
	}

	private List<Crash> findAttributable(Fingerprint part) {
		return crashesOf(part).stream()
			.filter((crash) -> !crash.isOfMassEvent() && !isExplainedOtherwise(crash, part)
					&& !isPartOfLargerEvent(crash, part))
			.sorted(Comparator.comparingLong((crash) -> crash.crashedMs))
			.toList();
	}

	private boolean isExplainedOtherwise(Crash crash, Fingerprint part) {
		Set<Fingerprint> contents = crash.contents(part);
		boolean byRequest = crash.requests.stream()
			.anyMatch((request) -> !contents.contains(request) && isConfirmed(request));
		return byRequest || crash.uses.keySet().stream().anyMatch((other) -> !other.equals(part) && isConfirmed(other));
	}

	// Returns whether several parts that fewer requests share explain most of the crashes
	// of a part, such as a first part that all of their requests have in common.
	private boolean isExplainedByDeeperParts(Fingerprint part, List<Crash> ownCrashes) {
		long explained = ownCrashes.stream()
			.filter((crash) -> crash.uses.keySet()
				.stream()
				.anyMatch((other) -> crash.isDeeperInSameRequest(other, part) && isLikelyCause(other)))
			.count();
		return 2 * explained >= ownCrashes.size();
	}

	// Returns whether a part that is not confirmed yet is a likely cause of its crashes.
	private boolean isLikelyCause(Fingerprint part) {
		return this.likelyCauses.computeIfAbsent(part, this::findLikelyCause);
	}

	private boolean findLikelyCause(Fingerprint part) {
		List<Crash> crashesOfPart = crashesOf(part);
		return crashesOfPart.size() >= MIN_OF_LIKELY_CAUSE && contentCount(part, crashesOfPart) >= MIN_OF_LIKELY_CAUSE;
	}

	// An event that affects many upstreams, such as the loss of a failure domain, is not
	// caused by a part that few of them were reading.
	private boolean isPartOfLargerEvent(Crash crash, Fingerprint part) {
		return this.crashes.values()
			.stream()
			.filter((other) -> other.isSimultaneous(crash))
			.filter((other) -> !other.uses.containsKey(part) && !hasOtherLikelyCause(other, part))
			.limit(MAX_SIMULTANEOUS_OTHERS + 1)
			.count() > MAX_SIMULTANEOUS_OTHERS;
	}

	private boolean hasOtherLikelyCause(Crash crash, Fingerprint part) {
		return crash.uses.keySet()
			.stream()
			.anyMatch((other) -> !other.equals(part) && (isConfirmed(other) || isLikelyCause(other)));
	}

	// Counts crashes at different times, and those at the same time to which a request
	// with the part was sent after the one before.
	private static int eventCount(Fingerprint part, List<Crash> crashList) {
		int count = 0;
		long lastMs = Long.MIN_VALUE / 2;
		for (Crash crash : crashList) {
			if (crash.crashedMs - lastMs > CrashingRequestDetector.SIMULTANEOUS_MS || crash.sentMs(part) >= lastMs) {
				count++;
				lastMs = crash.crashedMs;
			}
		}
		return count;
	}

	private long extraCrashes(Fingerprint part, List<Crash> ownCrashes) {
		return Math.min(unrelatedCrashes(part, ownCrashes) / UNRELATED_CRASHES_PER_EXTRA, MAX_EXTRA_CRASHES);
	}

	// Counts the crashes in the time of the part's own that have no likely cause.
	private long unrelatedCrashes(Fingerprint part, List<Crash> ownCrashes) {
		if (ownCrashes.isEmpty()) {
			return 0;
		}
		long fromMs = ownCrashes.get(0).crashedMs;
		long untilMs = ownCrashes.get(ownCrashes.size() - 1).crashedMs;
		return this.crashes.values()
			.stream()
			.filter((crash) -> crash.crashedMs >= fromMs && crash.crashedMs <= untilMs)
			.filter((crash) -> !crash.uses.containsKey(part) && !hasOtherLikelyCause(crash, part))
			.filter((crash) -> crash.requests.stream().noneMatch(this::isConfirmed))
			.mapToLong((crash) -> crash.crashedMs / CrashingRequestDetector.SIMULTANEOUS_MS)
			.distinct()
			.count();
	}

	private static long contentCount(Fingerprint part, Collection<Crash> crashList) {
		return crashList.stream().flatMap((crash) -> crash.contents(part).stream()).distinct().count();
	}

	private static int mostEventsOfOneContent(Fingerprint part, Collection<Crash> crashList) {
		Map<Fingerprint, Integer> counts = new HashMap<>();
		crashList.forEach((crash) -> crash.contents(part).forEach((content) -> counts.merge(content, 1, Integer::sum)));
		return counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
	}

	private List<Crash> withoutRivals(Fingerprint part, List<Crash> ownCrashes, int events) {
		Map<Fingerprint, Integer> rivalEvents = new HashMap<>();
		return ownCrashes.stream()
			.filter((crash) -> crash.uses.keySet()
				.stream()
				.filter((other) -> !other.equals(part) && crashesOf(other).size() >= events)
				.noneMatch((other) -> isRival(crash, other, part,
						events - rivalEvents.computeIfAbsent(other, (key) -> eventCount(key, attributable(key))))))
			.toList();
	}

	// Returns whether a part explains a crash as well as another one that has more
	// crashes
	// by the given number.
	private static boolean isRival(Crash crash, Fingerprint other, Fingerprint part, int lead) {
		return lead < 0 || lead == 0 && !crash.isDeeperInSameRequest(part, other);
	}

	/** A crash of an upstream and the parts that its suspects hold. */
	private static final class Crash {

		private final long crashedMs;

		private int simultaneousCrashes;

		private final Map<Fingerprint, PartUse> uses = new HashMap<>();

		private final Set<Fingerprint> readParts = new HashSet<>();

		private final Set<Fingerprint> requests = new HashSet<>();

		// Whether the upstream had begun to answer a request.
		private boolean answering;

		Crash(long crashedMs) {
			this.crashedMs = crashedMs;
		}

		boolean isOfMassEvent() {
			return this.simultaneousCrashes >= MIN_OF_MASS_EVENT;
		}

		boolean isSimultaneous(Crash other) {
			return Math.abs(other.crashedMs - this.crashedMs) <= CrashingRequestDetector.SIMULTANEOUS_MS;
		}

		Set<Fingerprint> contents(Fingerprint part) {
			PartUse use = this.uses.get(part);
			return (use != null) ? use.contents : Set.of();
		}

		long sentMs(Fingerprint part) {
			PartUse use = this.uses.get(part);
			return (use != null) ? use.sentMs : Long.MIN_VALUE;
		}

		// Returns whether a request holds both parts, and the first one is the less
		// widely shared.
		boolean isDeeperInSameRequest(Fingerprint deeper, Fingerprint part) {
			PartUse deeperUse = this.uses.get(deeper);
			PartUse use = this.uses.get(part);
			return deeperUse != null && use != null && deeperUse.depth > use.depth
					&& deeperUse.contents.stream().anyMatch(use.contents::contains);
		}

	}

	/** The suspects of one crash that hold a part. */
	private static final class PartUse {

		private final Set<Fingerprint> contents = new HashSet<>();

		private long sentMs = Long.MIN_VALUE;

		private int depth;

		void add(Suspect suspect, int position) {
			this.contents.add(suspect.fingerprint());
			this.sentMs = Math.max(this.sentMs, suspect.sentMs());
			this.depth = Math.max(this.depth, position);
		}

	}

}
