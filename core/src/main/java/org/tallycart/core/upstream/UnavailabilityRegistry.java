package org.tallycart.core.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The upstreams that have said, in replies or in their entries, that they want no
 * requests: for good, since they leave, or for a time, since they need rest.
 * <p>
 * Both are kept by incarnation and apart from the platform's list, so that neither an
 * entry that is written late, nor one that is gone and comes back, takes them back.
 * Leaving is final: whichever VM heard it, and however often, all end up with the same. A
 * rest is asked of one VM and concerns no other.
 * <p>
 * Invariants: what was said once holds until it ends by itself; of two rests the one that
 * ends later holds. Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class UnavailabilityRegistry {

	/** What an upstream that leaves takes in the future. */
	public static final long NEVER = Long.MAX_VALUE;

	/**
	 * How long it is remembered that an upstream leaves after it was listed last, in
	 * milliseconds: its entry may be listed again by a store that comes back from an
	 * older copy.
	 */
	private static final long REMEMBERED_MS = 600_000;

	private final Map<String, Long> leavingSeenMs = new HashMap<>();

	private final Map<String, Long> restUntilMs = new HashMap<>();

	/**
	 * Take note that an upstream leaves.
	 * @param incarnation the upstream
	 * @param nowMs the steady clock
	 * @return whether that is news
	 */
	public boolean onDraining(String incarnation, long nowMs) {
		return this.leavingSeenMs.put(incarnation, nowMs) == null;
	}

	/**
	 * Take note that an upstream wants no requests from this VM for a time.
	 * @param incarnation the upstream
	 * @param restMs for how long, in milliseconds
	 * @param nowMs the steady clock
	 * @return whether it did not rest before
	 */
	public boolean onBackoff(String incarnation, long restMs, long nowMs) {
		boolean rested = remainingBackoffMs(incarnation, nowMs) > 0;
		this.restUntilMs.merge(incarnation, nowMs + restMs, Math::max);
		return restMs > 0 && !rested;
	}

	/**
	 * Return whether an upstream has said that it leaves.
	 * @param incarnation the upstream
	 * @return true if it has
	 */
	public boolean isDraining(String incarnation) {
		return this.leavingSeenMs.containsKey(incarnation);
	}

	/**
	 * Return for how much longer an upstream wants no requests from this VM.
	 * @param incarnation the upstream
	 * @param nowMs the steady clock
	 * @return milliseconds; 0 if it rests no longer
	 */
	public long remainingBackoffMs(String incarnation, long nowMs) {
		return Math.max(this.restUntilMs.getOrDefault(incarnation, nowMs) - nowMs, 0);
	}

	/**
	 * Return when an upstream takes requests again, by its own word.
	 * @param incarnation the upstream
	 * @param nowMs the steady clock
	 * @return milliseconds; 0 if it takes them now, {@link #NEVER} if it leaves
	 */
	public long acceptsInMs(String incarnation, long nowMs) {
		return isDraining(incarnation) ? NEVER : remainingBackoffMs(incarnation, nowMs);
	}

	/**
	 * Return whether there is nothing that keeps a request from any upstream.
	 * @return true if so
	 */
	public boolean isEmpty() {
		return this.leavingSeenMs.isEmpty() && this.restUntilMs.isEmpty();
	}

	/**
	 * Return the upstreams that have said that they leave.
	 * @return their incarnations
	 */
	public Set<String> drainingIncarnations() {
		return Set.copyOf(this.leavingSeenMs.keySet());
	}

	/**
	 * Return how many upstreams rest.
	 * @param nowMs the steady clock
	 * @return the count
	 */
	public long backoffCount(long nowMs) {
		return this.restUntilMs.values().stream().filter((until) -> until > nowMs).count();
	}

	/**
	 * Drop what is of no use any more. To be called now and then.
	 * @param listed tells whether an incarnation is still listed
	 * @param nowMs the steady clock
	 */
	public void expire(Predicate<String> listed, long nowMs) {
		this.restUntilMs.values().removeIf((until) -> until <= nowMs);
		this.leavingSeenMs.replaceAll((incarnation, seenMs) -> listed.test(incarnation) ? nowMs : seenMs);
		this.leavingSeenMs.values().removeIf((seenMs) -> nowMs - seenMs > REMEMBERED_MS);
	}

}
