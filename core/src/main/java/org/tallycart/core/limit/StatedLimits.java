package org.tallycart.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.tallycart.core.time.HybridTimestamp;

/**
 * The limits that upstreams have named, as one VM knows them.
 * <p>
 * Invariant: of two statements of an incarnation the later one holds, whoever heard it.
 * They are ordered by a hybrid logical clock: by the time that a message takes, an age
 * would make an old statement look newer than the one that has replaced it, and two VMs
 * would tell each other so for ever. Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class StatedLimits {

	/**
	 * A limit that differs by less than this share from the one told last is no news: the
	 * tolerance that the platform grants is five times as large.
	 */
	private static final double NEWS_SHARE = 0.1;

	/**
	 * How long it is remembered that an upstream has taken its limit back, in
	 * milliseconds: news of the limit may be on its way so long.
	 */
	private static final long LIFTED_MS = 30_000;

	private final Map<String, TrackedLimit> limits = new HashMap<>();

	/**
	 * Take what was said of an upstream's limit.
	 * @param incarnation the upstream
	 * @param perSecond requests a second; empty if it names no limit
	 * @param said when that was heard from the upstream, by whichever VM heard it
	 * @param nowMs the steady clock
	 * @return whether others should hear of it
	 */
	public boolean merge(String incarnation, OptionalDouble perSecond, HybridTimestamp said, long nowMs) {
		TrackedLimit known = this.limits.get(incarnation);
		if ((known == null && perSecond.isEmpty()) || (known != null && known.named.statedAt.compareTo(said) >= 0)) {
			return false;
		}
		OptionalDouble told = (known != null) ? known.told : OptionalDouble.empty();
		boolean news = news(told, perSecond);
		this.limits.put(incarnation,
				new TrackedLimit(new LimitStatement(perSecond, said), news ? perSecond : told, nowMs));
		return news;
	}

	private static boolean news(OptionalDouble before, OptionalDouble perSecond) {
		if (before.isEmpty() || perSecond.isEmpty()) {
			return before.isPresent() != perSecond.isPresent();
		}
		return Math.abs(before.getAsDouble() - perSecond.getAsDouble()) > NEWS_SHARE * before.getAsDouble();
	}

	/**
	 * Return an upstream's limit.
	 * @param incarnation the upstream
	 * @return requests a second; empty if it has named none, or taken it back
	 */
	public OptionalDouble perSecond(String incarnation) {
		return latest(incarnation).perSecond;
	}

	/**
	 * Return what is known of an upstream.
	 * @param incarnation the upstream
	 * @return what it has said last
	 */
	public LimitStatement latest(String incarnation) {
		TrackedLimit known = this.limits.get(incarnation);
		return (known != null) ? known.named : LimitStatement.NOTHING;
	}

	/**
	 * Return whether nothing is known of any limit, also of none that was taken back.
	 * @return true if so
	 */
	public boolean isEmpty() {
		return this.limits.isEmpty();
	}

	/**
	 * Return all that is known.
	 * @return what each upstream has said last, by its incarnation
	 */
	public Map<String, LimitStatement> snapshot() {
		return this.limits.entrySet()
			.stream()
			.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, (entry) -> entry.getValue().named));
	}

	/**
	 * Return how many upstreams have a limit.
	 * @return the count
	 */
	public long count() {
		return this.limits.values().stream().filter((known) -> known.named.perSecond.isPresent()).count();
	}

	/**
	 * Drop what is of no use any more.
	 * @param listed tells whether an incarnation still exists
	 * @param nowMs the steady clock
	 */
	public void expire(Predicate<String> listed, long nowMs) {
		this.limits.entrySet().removeIf((entry) -> {
			TrackedLimit known = entry.getValue();
			boolean old = nowMs - known.learnedMs > LIFTED_MS;
			return old && (known.named.perSecond.isEmpty() || !listed.test(entry.getKey()));
		});
	}

	/**
	 * What is known of one upstream.
	 *
	 * @param named what it has said last
	 * @param told the limit that others were told last; empty if none
	 * @param learnedMs when this VM learned what it said last
	 */
	private record TrackedLimit(LimitStatement named, OptionalDouble told, long learnedMs) {
	}

	/**
	 * What an upstream has said last.
	 *
	 * @param perSecond requests a second; empty if it has taken its limit back
	 * @param statedAt when that was heard from the upstream, by whichever VM heard it
	 */
	public record LimitStatement(OptionalDouble perSecond, HybridTimestamp statedAt) {

		/** Nothing was ever heard. */
		public static final LimitStatement NOTHING = new LimitStatement(OptionalDouble.empty(), HybridTimestamp.ZERO);

	}

}
