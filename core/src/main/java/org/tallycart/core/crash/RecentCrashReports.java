package org.tallycart.core.crash;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Recently received crash reports by upstream, kept so that they can be sent again if the
 * VM that collects them fails.
 * <p>
 * Invariant: a suspect that was received before is not returned as new, whichever path it
 * takes, so that reports are not relayed in a loop. Not thread-safe: confined to one
 * event loop.
 *
 * @since 0.1
 */
public final class RecentCrashReports {

	/**
	 * Retention time of a report, in milliseconds; covers the failover of the collecting
	 * VM and the retries of callers. A VM takes over as collector within two seconds, and
	 * callers retry within a minute.
	 */
	private static final long RETENTION_MS = 60_000;

	/** Maximum number of crashes; the oldest are removed first. */
	private static final int MAX_CRASHES = 256;

	private final Map<String, Crash> crashes = new LinkedHashMap<>();

	// Fingerprints of all current suspects, for a constant-time lookup.
	private final Set<Fingerprint> suspectFingerprints = new HashSet<>();

	/**
	 * Add a report.
	 * @param report the report
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 * @return a report of the suspects that are new, or empty if there is nothing new
	 */
	public Optional<CrashReport> add(CrashReport report, long nowMs) {
		expire(nowMs);
		Crash crash = this.crashes.computeIfAbsent(report.incarnation(), (key) -> new Crash(report.endedMs()));
		boolean changed = crash.readParts.addAll(report.readParts());
		List<Suspect> newSuspects = new ArrayList<>();
		for (Suspect suspect : report.suspects()) {
			if (crash.requestIds.add(suspect.requestId())) {
				crash.suspects.add(suspect);
				addFingerprints(suspect);
				newSuspects.add(suspect);
			}
		}
		return (newSuspects.isEmpty() && !changed) ? Optional.empty()
				: Optional.of(new CrashReport(report.incarnation(), report.endedMs(), newSuspects, report.readParts()));
	}

	private void expire(long nowMs) {
		boolean removed = this.crashes.values().removeIf((crash) -> nowMs - crash.crashedMs > RETENTION_MS);
		if (this.crashes.size() >= MAX_CRASHES) {
			this.crashes.remove(this.crashes.keySet().iterator().next());
			removed = true;
		}
		if (removed) {
			indexFingerprints();
		}
	}

	private void indexFingerprints() {
		this.suspectFingerprints.clear();
		this.crashes.values().forEach((crash) -> crash.suspects.forEach(this::addFingerprints));
	}

	private void addFingerprints(Suspect suspect) {
		this.suspectFingerprints.add(suspect.fingerprint());
		this.suspectFingerprints.addAll(suspect.parts());
	}

	/**
	 * Remove a request or a part of prompts from the suspects because it was served.
	 * @param fingerprint the request or part
	 * @param servedMs when it was served last, on the monotonic clock, in milliseconds;
	 * it stays a suspect of later crashes
	 * @return true if it was a suspect
	 */
	public boolean removeSuspect(Fingerprint fingerprint, long servedMs) {
		if (!this.suspectFingerprints.contains(fingerprint)) {
			return false;
		}
		boolean removed = false;
		for (Crash crash : this.crashes.values()) {
			if (crash.crashedMs <= servedMs + CrashingRequestDetector.CLEARED_MS) {
				removed |= crash.suspects.removeIf((suspect) -> suspect.fingerprint().equals(fingerprint));
			}
			if (crash.crashedMs <= servedMs + CrashingPartDetector.CLEARED_MS) {
				removed |= crash.removePart(fingerprint);
			}
		}
		indexFingerprints();
		return removed;
	}

	/**
	 * Return all retained reports.
	 * @return one report for each upstream with suspects
	 */
	public List<CrashReport> all() {
		List<CrashReport> all = new ArrayList<>();
		this.crashes.forEach((incarnation, crash) -> {
			if (!crash.suspects.isEmpty() || !crash.readParts.isEmpty()) {
				all.add(CrashReport.of(incarnation, crash.crashedMs, crash.suspects).withReadParts(crash.readParts));
			}
		});
		return all;
	}

	/** The suspects of one crash. */
	private static final class Crash {

		private final long crashedMs;

		private final Set<Suspect> suspects = new LinkedHashSet<>();

		private final Set<Fingerprint> readParts = new HashSet<>();

		// Request ids of all suspects, including the removed ones.
		private final Set<String> requestIds = new HashSet<>();

		Crash(long crashedMs) {
			this.crashedMs = crashedMs;
		}

		private boolean removePart(Fingerprint part) {
			List<Suspect> holders = this.suspects.stream().filter((suspect) -> suspect.parts().contains(part)).toList();
			for (Suspect holder : holders) {
				this.suspects.remove(holder);
				this.suspects.add(holder.withoutParts(part::equals));
			}
			return !holders.isEmpty();
		}

	}

}
