package org.tallycart.core.crash;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Requests that one VM has recently completed, or parts of their prompts, as evidence
 * that they do not crash upstreams.
 * <p>
 * Not thread-safe: confined to one event loop.
 *
 * @since 0.1
 */
public final class ServedRequests {

	/**
	 * Maximum number of retained requests; the oldest are removed first. At the planned
	 * 30 replies a second of a VM they cover more than a minute.
	 */
	private static final int MAX_REQUESTS = 2_048;

	private final Map<Fingerprint, Long> completedMs = new LinkedHashMap<>();

	/**
	 * Record that a request was completed.
	 * @param fingerprint the request
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 */
	public void add(Fingerprint fingerprint, long nowMs) {
		this.completedMs.remove(fingerprint);
		this.completedMs.put(fingerprint, nowMs);
		if (this.completedMs.size() > MAX_REQUESTS) {
			this.completedMs.remove(this.completedMs.keySet().iterator().next());
		}
	}

	/**
	 * Return when a request was completed last.
	 * @param fingerprint the request
	 * @return the time on the monotonic clock, in milliseconds; empty if it is not
	 * retained
	 */
	public OptionalLong lastServedMs(Fingerprint fingerprint) {
		Long lastMs = this.completedMs.get(fingerprint);
		return (lastMs != null) ? OptionalLong.of(lastMs) : OptionalLong.empty();
	}

	/**
	 * Return whether a request was completed at or after a given time.
	 * @param fingerprint the request
	 * @param sinceMs the time on the monotonic clock, in milliseconds
	 * @return true if it was and is still retained
	 */
	public boolean servedSince(Fingerprint fingerprint, long sinceMs) {
		OptionalLong lastMs = lastServedMs(fingerprint);
		return lastMs.isPresent() && lastMs.getAsLong() >= sinceMs;
	}

}
