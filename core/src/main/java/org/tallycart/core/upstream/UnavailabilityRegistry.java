package org.tallycart.core.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The upstreams that have stated, in replies or in their entries, that they accept no
 * requests: permanently, because they are draining, or for a backoff period.
 * <p>
 * Both are kept by incarnation and apart from the platform's list, so that neither a
 * stale entry nor one that is removed and added again revokes them. Draining is final,
 * and VMs that receive the statement in any order and number end up in the same state. A
 * backoff applies only to the VM that received it.
 * <p>
 * Invariants: a statement is never revoked before it expires; of two backoffs the one
 * that ends later applies. Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class UnavailabilityRegistry {

	/** Result for a draining upstream, which accepts no more requests. */
	public static final long NEVER = Long.MAX_VALUE;

	/**
	 * Time for which a draining incarnation is kept after it was last listed, in
	 * milliseconds, since a rollback of the store may list it again.
	 */
	private static final long DRAINING_RETENTION_MS = 600_000;

	private static final long LONG_AGO_MS = Long.MIN_VALUE / 2;

	private final Map<String, Long> drainingLastListedMs = new HashMap<>();

	private final Map<String, Long> backoffUntilMs = new HashMap<>();

	private long changes;

	/**
	 * Record that an upstream is draining.
	 * @param incarnation the upstream's incarnation
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return true if this was not known before
	 */
	public boolean onDraining(String incarnation, long nowMs) {
		this.changes++;
		return this.drainingLastListedMs.put(incarnation, nowMs) == null;
	}

	/**
	 * Record that an upstream accepts no requests from this VM for some time.
	 * @param incarnation the upstream's incarnation
	 * @param backoffMs the length of the backoff, in milliseconds
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return true if this begins a backoff, false if it extends one or is empty
	 */
	public boolean onBackoff(String incarnation, long backoffMs, long nowMs) {
		boolean wasBackingOff = remainingBackoffMs(incarnation, nowMs) > 0;
		this.changes++;
		this.backoffUntilMs.merge(incarnation, nowMs + backoffMs, Math::max);
		return backoffMs > 0 && !wasBackingOff;
	}

	/**
	 * Return whether an upstream has stated that it is draining.
	 * @param incarnation the upstream's incarnation
	 * @return true if it is draining
	 */
	public boolean isDraining(String incarnation) {
		return this.drainingLastListedMs.containsKey(incarnation);
	}

	/**
	 * Return the remaining backoff of an upstream.
	 * @param incarnation the upstream's incarnation
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the remaining time in milliseconds; 0 if there is no backoff
	 */
	public long remainingBackoffMs(String incarnation, long nowMs) {
		return Math.max(backoffUntilMs(incarnation) - nowMs, 0);
	}

	// A time in the past if there is no backoff.
	long backoffUntilMs(String incarnation) {
		Long untilMs = this.backoffUntilMs.get(incarnation);
		return (untilMs != null) ? untilMs : LONG_AGO_MS;
	}

	// Changes with each statement, so that a reader may keep what it has looked up.
	long changes() {
		return this.changes;
	}

	/**
	 * Return the time until an upstream accepts requests, by its own statements.
	 * @param incarnation the upstream's incarnation
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the time in milliseconds; 0 if it accepts them now, {@link #NEVER} if it is
	 * draining
	 */
	public long acceptsInMs(String incarnation, long nowMs) {
		return isDraining(incarnation) ? NEVER : remainingBackoffMs(incarnation, nowMs);
	}

	/**
	 * Return whether no upstream is recorded as draining or backing off.
	 * @return true if there is none
	 */
	public boolean isEmpty() {
		return this.drainingLastListedMs.isEmpty() && this.backoffUntilMs.isEmpty();
	}

	/**
	 * Return the draining upstreams.
	 * @return their incarnations
	 */
	public Set<String> drainingIncarnations() {
		return Set.copyOf(this.drainingLastListedMs.keySet());
	}

	/**
	 * Return the number of upstreams with a backoff.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the count
	 */
	public long backoffCount(long nowMs) {
		return this.backoffUntilMs.values().stream().filter((until) -> until > nowMs).count();
	}

	/**
	 * Drop expired statements. Should be called periodically.
	 * @param listed tests whether an incarnation is still listed
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void expire(Predicate<String> listed, long nowMs) {
		this.changes++;
		this.backoffUntilMs.values().removeIf((until) -> until <= nowMs);
		this.drainingLastListedMs
			.replaceAll((incarnation, lastListedMs) -> listed.test(incarnation) ? nowMs : lastListedMs);
		this.drainingLastListedMs.values().removeIf((lastListedMs) -> nowMs - lastListedMs > DRAINING_RETENTION_MS);
	}

}
