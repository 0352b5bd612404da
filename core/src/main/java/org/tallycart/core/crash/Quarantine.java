package org.tallycart.core.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The requests that are kept away from upstreams, since they crash those that run them.
 * Each is for a time, so that an upstream that was mended serves it again; operators end
 * it sooner by removing its object from the platform's store.
 * <p>
 * Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class Quarantine {

	/**
	 * How long a request is kept away, in milliseconds. What crashes upstreams is mended
	 * by a release of their software, which takes longer; so at most three upstreams end
	 * in ten minutes.
	 */
	public static final long DURATION_MS = 600_000;

	private final Map<Fingerprint, Long> untilMs = new HashMap<>();

	// Those that the platform's store held when it was last read.
	private final Set<Fingerprint> listed = new HashSet<>();

	private final Map<Fingerprint, Set<Runnable>> underWay = new HashMap<>();

	/**
	 * Keep a request away from upstreams from now on.
	 * @param fingerprint the request
	 * @param untilMs until when, on the steady clock
	 * @return whether that is news
	 */
	public boolean add(Fingerprint fingerprint, long untilMs) {
		boolean fresh = this.untilMs.putIfAbsent(fingerprint, untilMs) == null;
		if (fresh) {
			new ArrayList<>(this.underWay.getOrDefault(fingerprint, Set.of())).forEach(Runnable::run);
		}
		return fresh;
	}

	/**
	 * Take what the platform's store holds. What it held before and holds no more is
	 * ended; what another VM told and it does not hold yet stays.
	 * @param all until when each request is kept away, on the steady clock
	 * @return whether anything changed
	 */
	public boolean replaceStored(Map<Fingerprint, Long> all) {
		Set<Fingerprint> ended = new HashSet<>(this.listed);
		ended.removeAll(all.keySet());
		ended.forEach(this.untilMs::remove);
		this.listed.clear();
		this.listed.addAll(all.keySet());
		boolean changed = !ended.isEmpty();
		for (Map.Entry<Fingerprint, Long> entry : all.entrySet()) {
			changed |= add(entry.getKey(), entry.getValue());
		}
		return changed;
	}

	/**
	 * End the term of a request.
	 * @param fingerprint the request
	 * @return whether it was kept away
	 */
	public boolean lift(Fingerprint fingerprint) {
		this.listed.remove(fingerprint);
		return this.untilMs.remove(fingerprint) != null;
	}

	/**
	 * Return for how much longer a request is kept away.
	 * @param fingerprint the request
	 * @param nowMs the steady clock
	 * @return milliseconds; 0 if it may be sent
	 */
	public long remainingMs(Fingerprint fingerprint, long nowMs) {
		return Math.max(this.untilMs.getOrDefault(fingerprint, nowMs) - nowMs, 0);
	}

	/**
	 * Drop what is over.
	 * @param nowMs the steady clock
	 * @return the requests whose term in the platform's store is over
	 */
	public List<Fingerprint> expire(long nowMs) {
		List<Fingerprint> over = new ArrayList<>();
		this.untilMs.forEach((fingerprint, until) -> {
			if (until <= nowMs) {
				over.add(fingerprint);
			}
		});
		over.forEach(this.untilMs::remove);
		over.retainAll(this.listed);
		return over;
	}

	/**
	 * Return the requests that are kept away.
	 * @return until when each is, on the steady clock
	 */
	public Map<Fingerprint, Long> all() {
		return Map.copyOf(this.untilMs);
	}

	/**
	 * Take note that a request is under way.
	 * @param fingerprint the request
	 * @param onQuarantined runs when it is to be kept away after all
	 */
	public void addInFlight(Fingerprint fingerprint, Runnable onQuarantined) {
		this.underWay.computeIfAbsent(fingerprint, (key) -> new LinkedHashSet<>()).add(onQuarantined);
	}

	/**
	 * Take note that a request has ended.
	 * @param fingerprint the request
	 * @param onQuarantined what was given when it was under way
	 */
	public void removeInFlight(Fingerprint fingerprint, Runnable onQuarantined) {
		Set<Runnable> left = this.underWay.getOrDefault(fingerprint, new HashSet<>());
		left.remove(onQuarantined);
		if (left.isEmpty()) {
			this.underWay.remove(fingerprint);
		}
	}

}
