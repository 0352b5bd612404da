package org.tallycart.core.crash;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Detects what crashes upstreams: single requests, see {@link CrashingRequestDetector},
 * and parts that several requests have in common, see {@link CrashingPartDetector}.
 * <p>
 * Invariant: once a part is confirmed, no request is confirmed for crashes that involve
 * the part. Not thread-safe: confined to one event loop.
 *
 * @since 0.1
 */
public final class CrashCauseDetector {

	private final CrashingRequestDetector requests;

	private final CrashingPartDetector parts;

	/**
	 * Create a detector.
	 * @param quarantined returns whether a part or a request is quarantined already
	 */
	public CrashCauseDetector(Predicate<Fingerprint> quarantined) {
		this.requests = new CrashingRequestDetector(quarantined);
		this.parts = new CrashingPartDetector(quarantined);
	}

	/**
	 * Add a report.
	 * @param report a VM's report of an upstream crash
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 * @return the new suspects, to be confirmed unless they are cleared first; all VMs
	 * have to be asked whether they were served
	 */
	public List<Fingerprint> onReport(CrashReport report, long nowMs) {
		List<Fingerprint> suspects = new ArrayList<>(this.parts.onReport(report, nowMs));
		if (this.parts.isExplained(report.incarnation())) {
			this.requests.removeCrash(report.incarnation());
		}
		else if (!report.suspects().isEmpty()) {
			suspects.addAll(this.requests.onReport(report, nowMs));
		}
		return suspects;
	}

	/**
	 * Return from when on a suspect must have been served to be cleared.
	 * @param suspect the suspect
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 * @return the time on the monotonic clock, in milliseconds
	 */
	public long clearedFromMs(Fingerprint suspect, long nowMs) {
		return this.parts.isSuspect(suspect) ? this.parts.clearedFromMs(suspect, nowMs)
				: this.requests.clearedFromMs(suspect, nowMs);
	}

	/**
	 * Clear a suspect that was served.
	 * @param suspect the suspect
	 * @param servedMs when it was served last, on the monotonic clock, in milliseconds
	 */
	public void onServed(Fingerprint suspect, long servedMs) {
		this.parts.onServed(suspect, servedMs);
		this.requests.onCompleted(suspect, servedMs);
	}

	/**
	 * Return the suspects that are confirmed as crashing.
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 * @return the newly confirmed parts and requests
	 */
	public List<Fingerprint> takeConfirmed(long nowMs) {
		List<Fingerprint> found = new ArrayList<>(this.parts.takeConfirmed(nowMs));
		if (!found.isEmpty()) {
			this.requests.removeCrashesIf(this.parts::isExplained);
		}
		found.addAll(this.requests.takeConfirmed(nowMs));
		return found;
	}

	/**
	 * Return whether a suspect is a part of prompts.
	 * @param suspect the suspect
	 * @return true if it is
	 */
	public boolean isPart(Fingerprint suspect) {
		return this.parts.isSuspect(suspect);
	}

	/**
	 * Return the number of crashes that involved a suspect.
	 * @param suspect the suspect
	 * @return the count
	 */
	public int crashCount(Fingerprint suspect) {
		return this.parts.isSuspect(suspect) ? this.parts.crashCount(suspect) : this.requests.crashCount(suspect);
	}

}
