package org.tallycart.core.crash;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The requests that one VM has answered whole lately, by which it can tell that a request
 * does not crash upstreams.
 * <p>
 * Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class ServedRequests {

	/**
	 * Requests remembered, at most: a VM that answers 30 a second, as planned, remembers
	 * more than a minute.
	 */
	private static final int MOST = 2_048;

	private final Map<Fingerprint, Long> servedMs = new LinkedHashMap<>();

	/**
	 * Take note that a request was answered whole.
	 * @param fingerprint the request
	 * @param nowMs the steady clock
	 */
	public void add(Fingerprint fingerprint, long nowMs) {
		this.servedMs.remove(fingerprint);
		this.servedMs.put(fingerprint, nowMs);
		if (this.servedMs.size() > MOST) {
			this.servedMs.remove(this.servedMs.keySet().iterator().next());
		}
	}

	/**
	 * Return whether a request was answered since some time.
	 * @param fingerprint the request
	 * @param sinceMs the time, on the steady clock
	 * @return true if it was, and is remembered
	 */
	public boolean servedSince(Fingerprint fingerprint, long sinceMs) {
		Long at = this.servedMs.get(fingerprint);
		return at != null && at >= sinceMs;
	}

}
