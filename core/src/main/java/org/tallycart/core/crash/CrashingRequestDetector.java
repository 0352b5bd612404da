package org.tallycart.core.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds the requests that crash upstreams, among all that were there when upstreams
 * ended.
 * <p>
 * A request is named when it was sent to three upstreams one after the other, each time
 * after the one before had ended, under two ids at least, no other request was at as many
 * of these ends, and no VM tells within a moment that it answered it whole since the
 * first of them. So ends at the same moment, as of a failure domain, accuse nobody; a
 * request that shared upstreams with the one that ended them was at no more ends than
 * that one; and one that many callers send was answered somewhere.
 * <p>
 * Each end costs what else ran there. Without this, engines end as long as the request
 * comes: 42 in one half minute on six VMs, while 57 of 116 requests were in time. With
 * it, 8, 10, 12 and 14 at most end in fleets of 6, 18, 86 and 300 VMs at which up to six
 * copies a second arrive, and none is sent later than three seconds after the third end;
 * {@code CrashLedgerTests} counts them.
 * <p>
 * Invariant: an end at which a named request was is held against no other. Not
 * thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class CrashingRequestDetector {

	/** How long a request waits for a word that it was answered, in milliseconds. */
	public static final long CONFIRMATION_DELAY_MS = 200;

	/** Ends one after the other that name a request; the users allow for three. */
	private static final int MIN_ENDS = 3;

	/**
	 * Ids under which a request has to have come: what one attempt of a caller meets on
	 * its way may be bad luck, and a caller that does not come again does no more harm.
	 */
	private static final int MIN_REQUESTS = 2;

	/**
	 * A request that was sent up to this long before an end was reported counts as sent
	 * after it, in milliseconds: reports of two VMs come with different delays.
	 */
	private static final long DELAY_MS = 10;

	/**
	 * Ends within this time of each other count as one event, in milliseconds: what ends
	 * several upstreams at once, such as the loss of a failure domain, is no request that
	 * was at only one of them. Reports of one event come within some milliseconds.
	 */
	private static final long SAME_MOMENT_MS = 20;

	/**
	 * Ends meanwhile without the request that ask for one more with it: where upstreams
	 * end often by themselves, three in a row may be bad luck.
	 */
	private static final int OTHER_ENDS_WEIGH = 5;

	/** How far back other ends are counted, in milliseconds. */
	private static final long OTHER_ENDS_MS = 10_000;

	/** How long an end is remembered, in milliseconds. */
	private static final long MEMORY_MS = 600_000;

	/** Ends remembered, at most: the oldest give way. */
	private static final int MOST_ENDS = 1_000;

	/** A request that was answered whole is no suspect for this long, in milliseconds. */
	private static final long CLEARED_MS = 10_000;

	/**
	 * Requests named within the memory, at most. More than that do not crash upstreams:
	 * the upstreams fail, and to refuse their requests would help nobody.
	 */
	private static final int MOST_NAMED = 100;

	private final Map<String, End> ends = new LinkedHashMap<>();

	private final Map<Fingerprint, List<End>> bySuspect = new HashMap<>();

	private final Map<Fingerprint, Long> cleared = new HashMap<>();

	private final Map<Fingerprint, Long> named = new HashMap<>();

	private final Map<Fingerprint, Long> dueMs = new LinkedHashMap<>();

	/**
	 * Take a report.
	 * @param report what a VM saw of an upstream's end
	 * @param nowMs the steady clock
	 * @return requests that will be named unless they are cleared first: all VMs are to
	 * be asked whether they answered them
	 */
	public List<Fingerprint> onReport(CrashReport report, long nowMs) {
		expire(nowMs);
		End end = this.ends.computeIfAbsent(report.incarnation(), (key) -> new End(report.endedMs()));
		for (Suspect suspect : report.suspects()) {
			if (!this.cleared.containsKey(suspect.fingerprint())) {
				add(end, suspect);
			}
		}
		List<Fingerprint> fresh = new ArrayList<>();
		for (Fingerprint suspect : end.sentMs.keySet()) {
			if (accused(suspect) && this.dueMs.putIfAbsent(suspect, nowMs + CONFIRMATION_DELAY_MS) == null) {
				fresh.add(suspect);
			}
		}
		return fresh;
	}

	/**
	 * Return when the first upstream ended at which a request was.
	 * @param fingerprint the request
	 * @param nowMs the steady clock
	 * @return a time on the steady clock; now if there is none
	 */
	public long firstCrashMs(Fingerprint fingerprint, long nowMs) {
		return this.bySuspect.getOrDefault(fingerprint, List.of())
			.stream()
			.mapToLong((end) -> end.endedMs)
			.min()
			.orElse(nowMs);
	}

	private void add(End end, Suspect suspect) {
		Fingerprint fingerprint = suspect.fingerprint();
		if (!end.sentMs.containsKey(fingerprint)) {
			this.bySuspect.computeIfAbsent(fingerprint, (key) -> new ArrayList<>()).add(end);
		}
		end.sentMs.merge(fingerprint, suspect.sentMs(), Math::max);
		end.requestIds.computeIfAbsent(fingerprint, (key) -> new HashSet<>()).add(suspect.requestId());
	}

	private void expire(long nowMs) {
		this.cleared.values().removeIf((at) -> nowMs - at > CLEARED_MS);
		this.named.values().removeIf((at) -> nowMs - at > MEMORY_MS);
		List<String> old = new ArrayList<>();
		this.ends.forEach((incarnation, end) -> {
			if (nowMs - end.endedMs > MEMORY_MS || this.ends.size() - old.size() >= MOST_ENDS) {
				old.add(incarnation);
			}
		});
		old.forEach(this::forget);
	}

	private void forget(String incarnation) {
		End end = this.ends.remove(incarnation);
		if (end != null) {
			end.sentMs.keySet().forEach((suspect) -> leave(suspect, end));
		}
	}

	private void leave(Fingerprint suspect, End end) {
		List<End> known = this.bySuspect.getOrDefault(suspect, new ArrayList<>());
		known.remove(end);
		if (known.isEmpty()) {
			this.bySuspect.remove(suspect);
		}
	}

	/**
	 * Take note that a request was answered whole: it was only there when upstreams
	 * ended.
	 * @param fingerprint the request
	 * @param nowMs the steady clock
	 */
	public void onCleared(Fingerprint fingerprint, long nowMs) {
		this.cleared.put(fingerprint, nowMs);
		this.dueMs.remove(fingerprint);
		for (End end : this.bySuspect.getOrDefault(fingerprint, List.of())) {
			end.sentMs.remove(fingerprint);
			end.requestIds.remove(fingerprint);
		}
		this.bySuspect.remove(fingerprint);
	}

	/**
	 * Take the requests that are found to crash upstreams.
	 * @param nowMs the steady clock
	 * @return those that were not taken before
	 */
	public List<Fingerprint> takeConfirmed(long nowMs) {
		List<Fingerprint> found = new ArrayList<>();
		for (Fingerprint suspect : List.copyOf(this.dueMs.keySet())) {
			if (nowMs < this.dueMs.getOrDefault(suspect, nowMs)) {
				continue;
			}
			this.dueMs.remove(suspect);
			if (accused(suspect) && this.named.size() < MOST_NAMED) {
				this.named.put(suspect, nowMs);
				found.add(suspect);
			}
		}
		return found;
	}

	/**
	 * Return at how many ends a request was.
	 * @param fingerprint the request
	 * @return the count
	 */
	public int crashCount(Fingerprint fingerprint) {
		return this.bySuspect.getOrDefault(fingerprint, List.of()).size();
	}

	private boolean accused(Fingerprint suspect) {
		List<End> known = this.bySuspect.getOrDefault(suspect, List.of());
		if (known.size() < MIN_ENDS || this.named.containsKey(suspect)) {
			return false;
		}
		int all = inARow(suspect, unexplained(known));
		List<End> own = unexplained(known).stream()
			.filter((end) -> mostAt(end, suspect, all) && atAllEndsOfItsMoment(end, suspect))
			.toList();
		return inARow(suspect, own) >= MIN_ENDS + othersMeanwhile(suspect, own) / OTHER_ENDS_WEIGH
				&& requests(suspect, own) >= MIN_REQUESTS;
	}

	private List<End> unexplained(List<End> known) {
		return known.stream()
			.filter((end) -> end.sentMs.keySet().stream().noneMatch(this.named::containsKey))
			.sorted(Comparator.comparingLong((end) -> end.endedMs))
			.toList();
	}

	// Whether a request was at more ends than any other that was at this one.
	private boolean mostAt(End end, Fingerprint suspect, int count) {
		return end.sentMs.keySet()
			.stream()
			.filter((other) -> !other.equals(suspect))
			.noneMatch((other) -> this.bySuspect.getOrDefault(other, List.of()).size() >= count
					&& inARow(other, unexplained(this.bySuspect.getOrDefault(other, List.of()))) >= count);
	}

	private boolean atAllEndsOfItsMoment(End end, Fingerprint suspect) {
		return this.ends.values()
			.stream()
			.filter((other) -> Math.abs(other.endedMs - end.endedMs) <= SAME_MOMENT_MS)
			.allMatch((other) -> other.sentMs.containsKey(suspect));
	}

	// At how many moments lately upstreams ended without a request, up to its last end.
	private long othersMeanwhile(Fingerprint suspect, List<End> own) {
		if (own.isEmpty()) {
			return 0;
		}
		long untilMs = own.get(own.size() - 1).endedMs;
		return unexplained(List.copyOf(this.ends.values())).stream()
			.filter((end) -> end.endedMs <= untilMs && end.endedMs > untilMs - OTHER_ENDS_MS)
			.filter((end) -> !end.sentMs.containsKey(suspect))
			.mapToLong((end) -> end.endedMs / SAME_MOMENT_MS)
			.distinct()
			.count();
	}

	private static int requests(Fingerprint suspect, List<End> at) {
		Set<String> ids = new HashSet<>();
		at.forEach((end) -> ids.addAll(end.requestIds.getOrDefault(suspect, Set.of())));
		return ids.size();
	}

	// How many of some ends, in their order, a request met one after the other.
	private static int inARow(Fingerprint suspect, List<End> at) {
		int count = 0;
		long lastMs = Long.MIN_VALUE / 2;
		for (End end : at) {
			if (end.sentMs.getOrDefault(suspect, Long.MIN_VALUE) + DELAY_MS >= lastMs) {
				count++;
				lastMs = end.endedMs;
			}
		}
		return count;
	}

	/** An upstream's end, and who was there. */
	private static final class End {

		private final long endedMs;

		private final Map<Fingerprint, Long> sentMs = new HashMap<>();

		private final Map<Fingerprint, Set<String>> requestIds = new HashMap<>();

		End(long endedMs) {
			this.endedMs = endedMs;
		}

	}

}
