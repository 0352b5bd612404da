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
 * Reports of crashes that were heard lately, by upstream, so that they can be told again
 * when the VM that collects them is lost.
 * <p>
 * Invariant: what was heard before is no news, whatever way it comes, so a report that
 * goes round ends. Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class RecentCrashReports {

	/**
	 * How long a report is kept, in milliseconds: a VM that reads the store in place of
	 * another one does so within two seconds; callers try again within a minute.
	 */
	private static final long KEPT_MS = 60_000;

	/** Crashes kept, at most: the oldest give way. */
	private static final int MOST_CRASHES = 256;

	private final Map<String, Crash> crashes = new LinkedHashMap<>();

	// All that are kept, so that a request that is none costs one look.
	private final Set<Fingerprint> suspects = new HashSet<>();

	/**
	 * Take a report.
	 * @param report the report
	 * @param nowMs the steady clock
	 * @return what of it was not known yet
	 */
	public Optional<CrashReport> add(CrashReport report, long nowMs) {
		expire(nowMs);
		Crash crash = this.crashes.computeIfAbsent(report.incarnation(), (key) -> new Crash(report.endedMs()));
		List<Suspect> fresh = new ArrayList<>();
		for (Suspect suspect : report.suspects()) {
			if (crash.requestIds.add(suspect.requestId())) {
				crash.suspects.add(suspect);
				this.suspects.add(suspect.fingerprint());
				fresh.add(suspect);
			}
		}
		return fresh.isEmpty() ? Optional.empty()
				: Optional.of(CrashReport.of(report.incarnation(), report.endedMs(), fresh));
	}

	private void expire(long nowMs) {
		boolean dropped = this.crashes.values().removeIf((crash) -> nowMs - crash.endedMs > KEPT_MS);
		if (this.crashes.size() >= MOST_CRASHES) {
			this.crashes.remove(this.crashes.keySet().iterator().next());
			dropped = true;
		}
		if (dropped) {
			this.suspects.clear();
			this.crashes.values()
				.forEach((crash) -> crash.suspects.forEach((suspect) -> this.suspects.add(suspect.fingerprint())));
		}
	}

	/**
	 * Take note that a request was answered whole: it crashes no upstream.
	 * @param fingerprint the request
	 * @return whether it was a suspect
	 */
	public boolean removeSuspect(Fingerprint fingerprint) {
		if (!this.suspects.remove(fingerprint)) {
			return false;
		}
		this.crashes.values()
			.forEach((crash) -> crash.suspects.removeIf((suspect) -> suspect.fingerprint().equals(fingerprint)));
		return true;
	}

	/**
	 * Return all that is kept.
	 * @return a report for each upstream
	 */
	public List<CrashReport> all() {
		List<CrashReport> all = new ArrayList<>();
		this.crashes.forEach((incarnation, crash) -> {
			if (!crash.suspects.isEmpty()) {
				all.add(CrashReport.of(incarnation, crash.endedMs, crash.suspects));
			}
		});
		return all;
	}

	/** What is known of one upstream's end. */
	private static final class Crash {

		private final long endedMs;

		private final Set<Suspect> suspects = new LinkedHashSet<>();

		// Of all that were ever suspects, those that are cleared too.
		private final Set<String> requestIds = new HashSet<>();

		Crash(long endedMs) {
			this.endedMs = endedMs;
		}

	}

}
