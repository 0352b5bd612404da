package org.tallycart.core.pool;

import java.util.Arrays;

import org.tallycart.core.serving.PoolSpec;

/**
 * Estimates when queued pieces complete, from the times at which the workers of a pool
 * are expected to be free.
 * <p>
 * Not thread-safe: an instance covers one scheduling decision.
 */
final class CallSchedule {

	private final PoolSpec spec;

	// Sorted; at least one.
	private final long[] freeMs;

	/**
	 * Create a schedule.
	 * @param spec the capacity of a worker
	 * @param freeMs when each worker is free, on the monotonic clock, in milliseconds
	 * @param nowMs current time on the monotonic clock, in milliseconds; assumed as the
	 * time of one worker if there is none
	 */
	CallSchedule(PoolSpec spec, long[] freeMs, long nowMs) {
		this.spec = spec;
		this.freeMs = (freeMs.length > 0) ? freeMs.clone() : new long[] { nowMs };
		Arrays.sort(this.freeMs);
	}

	/**
	 * Return when the last of a number of pieces completes, if the workers take full
	 * calls as soon as they are free.
	 * @param pieces the number of pieces
	 * @return a time on the monotonic clock, in milliseconds
	 */
	double completionMs(int pieces) {
		double callMs = this.spec.expectedMs(Math.min(pieces, this.spec.batch()));
		int callsBefore = Math.max(pieces - 1, 0) / this.spec.batch();
		int rounds = callsBefore / this.freeMs.length;
		return this.freeMs[callsBefore % this.freeMs.length] + (rounds + 1) * callMs;
	}

}
