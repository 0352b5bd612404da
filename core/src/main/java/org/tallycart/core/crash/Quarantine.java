package org.tallycart.core.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Requests that are not sent to upstreams because they crash them, and parts of prompts
 * with which no request is sent to upstreams. The quarantine of a request or part is
 * limited in time, so that a fixed upstream serves it again; operators can end it earlier
 * by removing its object from the platform's store.
 * <p>
 * Not thread-safe: confined to one event loop.
 *
 * @since 0.1
 */
public final class Quarantine {

	/**
	 * Duration of a quarantine, in milliseconds; bounds the rate of crashes until the
	 * upstream software is fixed. A fix is a release of that software, which takes
	 * longer; three crashes confirm a request, so about three upstreams crash in this
	 * time.
	 */
	public static final long DURATION_MS = 600_000;

	private final Map<Fingerprint, Long> untilMs = new HashMap<>();

	// The requests that the platform's store contained when it was last read.
	private final Set<Fingerprint> stored = new HashSet<>();

	private final Map<Fingerprint, Set<Runnable>> inFlight = new HashMap<>();

	/**
	 * Quarantine a request and notify its requests in flight.
	 * @param fingerprint the request
	 * @param untilMs end of the quarantine on the monotonic clock, in milliseconds
	 * @return true if the request was not quarantined before
	 */
	public boolean add(Fingerprint fingerprint, long untilMs) {
		boolean added = this.untilMs.putIfAbsent(fingerprint, untilMs) == null;
		if (added) {
			new ArrayList<>(this.inFlight.getOrDefault(fingerprint, Set.of())).forEach(Runnable::run);
		}
		return added;
	}

	/**
	 * Apply the content of the platform's store. Requests that have been removed from it
	 * are released; requests reported by another VM that it does not contain yet stay
	 * quarantined.
	 * @param all end of the quarantine of each stored request, on the monotonic clock, in
	 * milliseconds
	 * @return true if the quarantine changed
	 */
	public boolean replaceStored(Map<Fingerprint, Long> all) {
		Set<Fingerprint> released = new HashSet<>(this.stored);
		released.removeAll(all.keySet());
		released.forEach(this.untilMs::remove);
		this.stored.clear();
		this.stored.addAll(all.keySet());
		boolean changed = !released.isEmpty();
		for (Map.Entry<Fingerprint, Long> entry : all.entrySet()) {
			changed |= add(entry.getKey(), entry.getValue());
		}
		return changed;
	}

	/**
	 * Release a request from quarantine.
	 * @param fingerprint the request
	 * @return true if it was quarantined
	 */
	public boolean lift(Fingerprint fingerprint) {
		this.stored.remove(fingerprint);
		return this.untilMs.remove(fingerprint) != null;
	}

	/**
	 * Return the remaining quarantine time of a request.
	 * @param fingerprint the request
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 * @return the time, in milliseconds; 0 if the request is not quarantined
	 */
	public long remainingMs(Fingerprint fingerprint, long nowMs) {
		return Math.max(this.untilMs.getOrDefault(fingerprint, nowMs) - nowMs, 0);
	}

	/**
	 * Return whether a request or a part of prompts is quarantined.
	 * @param fingerprint the request or part
	 * @return true if it is
	 */
	public boolean contains(Fingerprint fingerprint) {
		return this.untilMs.containsKey(fingerprint);
	}

	/**
	 * Return the remaining quarantine time of a request, considering its parts.
	 * @param content the request
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 * @return the time, in milliseconds; 0 if neither the request nor a part is
	 * quarantined
	 */
	public long remainingMs(ContentFingerprints content, long nowMs) {
		return content.all().stream().mapToLong((fingerprint) -> remainingMs(fingerprint, nowMs)).max().orElse(0);
	}

	/**
	 * Remove expired quarantines.
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 * @return the expired requests that the platform's store contained
	 */
	public List<Fingerprint> expire(long nowMs) {
		List<Fingerprint> expired = new ArrayList<>();
		this.untilMs.forEach((fingerprint, until) -> {
			if (until <= nowMs) {
				expired.add(fingerprint);
			}
		});
		expired.forEach(this.untilMs::remove);
		expired.retainAll(this.stored);
		return expired;
	}

	/**
	 * Return the quarantined requests.
	 * @return end of the quarantine of each request, on the monotonic clock, in
	 * milliseconds
	 */
	public Map<Fingerprint, Long> all() {
		return Map.copyOf(this.untilMs);
	}

	/**
	 * Register a request in flight.
	 * @param content the request
	 * @param onQuarantined callback to run if the request, or a part of its prompt, is
	 * quarantined while it is in flight
	 */
	public void addInFlight(ContentFingerprints content, Runnable onQuarantined) {
		content.all()
			.forEach((fingerprint) -> this.inFlight.computeIfAbsent(fingerprint, (key) -> new LinkedHashSet<>())
				.add(onQuarantined));
	}

	/**
	 * Unregister a request that is no longer in flight.
	 * @param content the request
	 * @param onQuarantined the callback that was registered
	 */
	public void removeInFlight(ContentFingerprints content, Runnable onQuarantined) {
		content.all().forEach((fingerprint) -> removeInFlight(fingerprint, onQuarantined));
	}

	private void removeInFlight(Fingerprint fingerprint, Runnable onQuarantined) {
		Set<Runnable> callbacks = this.inFlight.getOrDefault(fingerprint, new HashSet<>());
		callbacks.remove(onQuarantined);
		if (callbacks.isEmpty()) {
			this.inFlight.remove(fingerprint);
		}
	}

}
