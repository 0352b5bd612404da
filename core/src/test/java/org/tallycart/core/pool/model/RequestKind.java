package org.tallycart.core.pool.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.tallycart.core.serving.StageSpec;

/**
 * A kind of request that the model's callers send.
 *
 * @param name its name
 * @param perSecond arrivals in a second, outside its burst
 * @param rank its rank; 0 is the most urgent
 * @param objectiveMs when an answer is still on time, in milliseconds from the arrival
 * @param deadlineMs when callers leave, in milliseconds from the arrival
 * @param engineMs what the engine takes after the stages, in milliseconds
 * @param stages its stages
 * @param pieces the mean number of pieces of each stage
 * @param burst when more of it arrive
 */
record RequestKind(String name, double perSecond, int rank, long objectiveMs, long deadlineMs, long engineMs,
		List<StageSpec> stages, List<Double> pieces, Burst burst) {

	double perSecond(long atMs) {
		boolean inBurst = atMs >= this.burst.fromMs() && atMs < this.burst.toMs();
		return inBurst ? this.perSecond * this.burst.times() : this.perSecond;
	}

	// Whole means are kept; of the others, half of the requests have more and half less.
	List<Integer> pieceCounts(Random random) {
		List<Integer> counts = new ArrayList<>();
		for (double mean : this.pieces) {
			counts.add((int) Math.floor(mean + random.nextDouble()));
		}
		return counts;
	}

	/**
	 * A time in which more requests arrive.
	 *
	 * @param fromMs its begin, in milliseconds
	 * @param toMs its end, in milliseconds
	 * @param times how many times as many
	 */
	record Burst(long fromMs, long toMs, double times) {

		static final Burst NONE = new Burst(0, 0, 1);

	}

}
