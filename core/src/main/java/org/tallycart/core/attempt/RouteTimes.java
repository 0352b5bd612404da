package org.tallycart.core.attempt;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.IntCountsHistogram;
import org.jspecify.annotations.Nullable;

/**
 * Times to the first event of the attempts of one route, by prompt size, over the last
 * two to four minutes.
 * <p>
 * Not thread-safe: belongs to one event loop.
 */
final class RouteTimes {

	private static final double SLOW_PERCENTILE = 95;

	private static final double TYPICAL_PERCENTILE = 50;

	/** Length of each of the two generations that are kept, in milliseconds. */
	private static final long GENERATION_MS = 120_000;

	/** Longest time that is told from longer ones, in milliseconds. */
	private static final int MAX_MS = 60_000;

	/**
	 * Precision in decimal digits. One digit keeps times within 6 % in less than 1 kB.
	 */
	private static final int DIGITS = 1;

	/** Time for which a computed delay is used, in milliseconds. */
	private static final long RECOMPUTE_MS = 1_000;

	private Map<PromptSizeClass, IntCountsHistogram> current = new EnumMap<>(PromptSizeClass.class);

	private Map<PromptSizeClass, IntCountsHistogram> previous = new EnumMap<>(PromptSizeClass.class);

	private final Map<PromptSizeClass, Computed> delays = new EnumMap<>(PromptSizeClass.class);

	private long begunMs = Long.MIN_VALUE;

	private int count;

	void record(PromptSizeClass size, long ms, long nowMs) {
		rotate(nowMs);
		this.current.computeIfAbsent(size, (key) -> new IntCountsHistogram(MAX_MS, DIGITS))
			.recordValue(Math.max(Math.min(ms, MAX_MS), 0));
		this.count++;
	}

	boolean isExpired(long nowMs) {
		return nowMs - this.begunMs >= 2 * GENERATION_MS;
	}

	Optional<HedgeDelay> delay(PromptSizeClass size, long nowMs) {
		rotate(nowMs);
		if (this.count < HedgeDelays.MIN_ATTEMPTS) {
			return Optional.empty();
		}
		Computed known = this.delays.get(size);
		if (known == null || nowMs - known.atMs >= RECOMPUTE_MS) {
			known = new Computed(compute(size), nowMs);
			this.delays.put(size, known);
		}
		return Optional.of(known.delay);
	}

	private void rotate(long nowMs) {
		if (this.begunMs == Long.MIN_VALUE || isExpired(nowMs)) {
			this.previous.clear();
			this.current.clear();
		}
		else if (nowMs - this.begunMs < GENERATION_MS) {
			return;
		}
		Map<PromptSizeClass, IntCountsHistogram> oldest = this.previous;
		oldest.clear();
		this.previous = this.current;
		this.current = oldest;
		this.begunMs = nowMs;
		this.delays.clear();
		this.count = (int) this.previous.values().stream().mapToLong(IntCountsHistogram::getTotalCount).sum();
	}

	// Of a size that is seen rarely, the route's times and the longest of this size
	// count.
	private HedgeDelay compute(PromptSizeClass size) {
		Histogram own = new Histogram(MAX_MS, DIGITS);
		add(own, this.current.get(size));
		add(own, this.previous.get(size));
		if (own.getTotalCount() >= HedgeDelays.MIN_ATTEMPTS) {
			return new HedgeDelay(own.getValueAtPercentile(SLOW_PERCENTILE),
					own.getValueAtPercentile(TYPICAL_PERCENTILE));
		}
		Histogram all = new Histogram(MAX_MS, DIGITS);
		this.current.values().forEach(all::add);
		this.previous.values().forEach(all::add);
		return new HedgeDelay(Math.max(all.getValueAtPercentile(SLOW_PERCENTILE), own.getMaxValue()),
				all.getValueAtPercentile(TYPICAL_PERCENTILE));
	}

	private static void add(Histogram sum, @Nullable IntCountsHistogram times) {
		if (times != null) {
			sum.add(times);
		}
	}

	/**
	 * A delay that is used for some time.
	 *
	 * @param delay the delay
	 * @param atMs when it was computed, in monotonic time
	 */
	private record Computed(HedgeDelay delay, long atMs) {
	}

}
