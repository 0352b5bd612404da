package org.tallycart.core.crash;

import java.util.HashMap;
import java.util.Map;

/**
 * Suspects that were served, and so have not caused the crashes until then, nor those
 * shortly after.
 * <p>
 * Not thread-safe: confined to one event loop.
 */
final class ClearedSuspects {

	/** Retention in periods of clearance; covers the delay of reports. */
	private static final int RETENTION_PERIODS = 2;

	private final long clearedMs;

	private final Map<Fingerprint, Long> servedMs = new HashMap<>();

	/**
	 * Create an empty record.
	 * @param clearedMs time after a suspect was served in which it is cleared, in
	 * milliseconds
	 */
	ClearedSuspects(long clearedMs) {
		this.clearedMs = clearedMs;
	}

	/**
	 * Record that a suspect was served.
	 * @param suspect the suspect
	 * @param atMs when that was, on the monotonic clock, in milliseconds
	 */
	void onServed(Fingerprint suspect, long atMs) {
		this.servedMs.merge(suspect, atMs, Math::max);
	}

	/**
	 * Return whether a suspect is cleared of a crash.
	 * @param suspect the suspect
	 * @param crashedMs when the upstream crashed, on the monotonic clock, in milliseconds
	 * @return true if it was served after the crash or shortly before
	 */
	boolean contains(Fingerprint suspect, long crashedMs) {
		Long lastServedMs = this.servedMs.get(suspect);
		return lastServedMs != null && crashedMs <= lastServedMs + this.clearedMs;
	}

	/**
	 * Drop what concerns no crash that may still be reported.
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 */
	void expire(long nowMs) {
		this.servedMs.values().removeIf((at) -> nowMs - at > RETENTION_PERIODS * this.clearedMs);
	}

}
