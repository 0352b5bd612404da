package org.tallycart.core.routing;

import java.util.List;

/**
 * Divides the time left to a deadline among the stages still to come.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class DeadlineSplit {

	private DeadlineSplit() {
	}

	/**
	 * Return how long the next stage may take.
	 * @param remainingMs time left to the deadline
	 * @param expectedMs expected time of each stage still to come, the next one first
	 * @return milliseconds: the next stage's share of the time left
	 */
	public static long budgetMs(long remainingMs, List<Long> expectedMs) {
		long total = expectedMs.stream().mapToLong((millis) -> Math.max(millis, 1)).sum();
		long next = Math.max(expectedMs.get(0), 1);
		return Math.max(remainingMs, 0) * next / total;
	}

	/**
	 * Return whether the stages can be expected to end in time.
	 * @param remainingMs time left to the deadline
	 * @param expectedMs expected time of each stage still to come
	 * @return true if their sum fits
	 */
	public static boolean fits(long remainingMs, List<Long> expectedMs) {
		return expectedMs.stream().mapToLong(Long::longValue).sum() <= remainingMs;
	}

}
