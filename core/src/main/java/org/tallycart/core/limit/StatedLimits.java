package org.tallycart.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.tallycart.core.time.HybridTimestamp;

/**
 * The rate limits that upstreams have stated, as received by one VM.
 * <p>
 * Invariant: of two statements of an incarnation the later one applies, whichever VM
 * received it. Statements are ordered by a hybrid logical clock. An order by age would
 * depend on message delays, so that VMs could replace a statement by an older one and
 * exchange the two indefinitely. Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class StatedLimits {

	/**
	 * Minimum change of a limit that is published, as a fraction of the limit published
	 * last; the platform's tolerance is five times as large.
	 */
	private static final double CHANGE_THRESHOLD = 0.1;

	/**
	 * Time for which a withdrawn limit is kept, in milliseconds, since older statements
	 * of it may still be in transit.
	 */
	private static final long RETENTION_MS = 30_000;

	private final Map<String, TrackedLimit> limits = new HashMap<>();

	/**
	 * Merge a statement, unless it is older than the current one.
	 * @param incarnation the upstream's incarnation
	 * @param perSecond the limit in requests per second; empty if there is none
	 * @param statedAt the time at which a VM received the statement from the upstream
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return true if the change should be published to other VMs
	 */
	public boolean merge(String incarnation, OptionalDouble perSecond, HybridTimestamp statedAt, long nowMs) {
		TrackedLimit current = this.limits.get(incarnation);
		if ((current == null && perSecond.isEmpty())
				|| (current != null && current.statement.statedAt.compareTo(statedAt) >= 0)) {
			return false;
		}
		OptionalDouble published = (current != null) ? current.published : OptionalDouble.empty();
		boolean isChange = isChange(published, perSecond);
		this.limits.put(incarnation,
				new TrackedLimit(new LimitStatement(perSecond, statedAt), isChange ? perSecond : published, nowMs));
		return isChange;
	}

	private static boolean isChange(OptionalDouble before, OptionalDouble perSecond) {
		if (before.isEmpty() || perSecond.isEmpty()) {
			return before.isPresent() != perSecond.isPresent();
		}
		return Math.abs(before.getAsDouble() - perSecond.getAsDouble()) > CHANGE_THRESHOLD * before.getAsDouble();
	}

	/**
	 * Return the limit of an upstream.
	 * @param incarnation the upstream's incarnation
	 * @return the limit in requests per second; empty if it has stated none, or withdrawn
	 * it
	 */
	public OptionalDouble perSecond(String incarnation) {
		return latest(incarnation).perSecond;
	}

	/**
	 * Return the latest statement of an upstream.
	 * @param incarnation the upstream's incarnation
	 * @return the statement; {@link LimitStatement#NONE} if there is none
	 */
	public LimitStatement latest(String incarnation) {
		TrackedLimit current = this.limits.get(incarnation);
		return (current != null) ? current.statement : LimitStatement.NONE;
	}

	/**
	 * Return whether there is no statement, including withdrawn limits.
	 * @return true if there is none
	 */
	public boolean isEmpty() {
		return this.limits.isEmpty();
	}

	/**
	 * Return the latest statements of all upstreams.
	 * @return the statements by incarnation
	 */
	public Map<String, LimitStatement> snapshot() {
		return this.limits.entrySet()
			.stream()
			.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, (entry) -> entry.getValue().statement));
	}

	/**
	 * Return the number of upstreams with a limit.
	 * @return the count
	 */
	public long count() {
		return this.limits.values().stream().filter((current) -> current.statement.perSecond.isPresent()).count();
	}

	/**
	 * Drop statements that are withdrawn, or whose upstreams no longer exist.
	 * @param listed tests whether an incarnation still exists
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void expire(Predicate<String> listed, long nowMs) {
		this.limits.entrySet().removeIf((entry) -> {
			TrackedLimit current = entry.getValue();
			boolean expired = nowMs - current.updatedMs > RETENTION_MS;
			return expired && (current.statement.perSecond.isEmpty() || !listed.test(entry.getKey()));
		});
	}

	/**
	 * The state of one upstream's limit.
	 *
	 * @param statement the latest statement
	 * @param published the limit that was last published to other VMs; empty if none
	 * @param updatedMs the monotonic time of the latest update, in milliseconds
	 */
	private record TrackedLimit(LimitStatement statement, OptionalDouble published, long updatedMs) {
	}

	/**
	 * A statement of an upstream about its limit.
	 *
	 * @param perSecond the limit in requests per second; empty if it is withdrawn
	 * @param statedAt the time at which a VM received the statement from the upstream
	 */
	public record LimitStatement(OptionalDouble perSecond, HybridTimestamp statedAt) {

		/** No statement has been received. */
		public static final LimitStatement NONE = new LimitStatement(OptionalDouble.empty(), HybridTimestamp.ZERO);

	}

}
