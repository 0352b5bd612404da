package org.tallycart.core.routing;

import java.util.List;

/**
 * Divides the remaining time to a deadline over the remaining stages.
 * <p>
 * Thread-safe: stateless.
 *
 * @since 0.1
 */
public final class DeadlineSplit {

	private DeadlineSplit() {
	}

	/**
	 * Return the time budget of the next stage, in proportion to the expected durations.
	 * @param remainingMs remaining time to the deadline, in milliseconds
	 * @param expectedMs expected duration of each remaining stage, in milliseconds, the
	 * next stage first; not empty
	 * @return the budget, in milliseconds
	 */
	public static long budgetMs(long remainingMs, List<Long> expectedMs) {
		long total = expectedMs.stream().mapToLong((millis) -> Math.max(millis, 1)).sum();
		long next = Math.max(expectedMs.get(0), 1);
		return Math.max(remainingMs, 0) * next / total;
	}

	/**
	 * Return whether the remaining stages are expected to complete before the deadline.
	 * @param remainingMs remaining time to the deadline, in milliseconds
	 * @param expectedMs expected duration of each remaining stage, in milliseconds
	 * @return true if the sum of the durations does not exceed the remaining time
	 */
	public static boolean fits(long remainingMs, List<Long> expectedMs) {
		return expectedMs.stream().mapToLong(Long::longValue).sum() <= remainingMs;
	}

}
