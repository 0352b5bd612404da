package org.tallycart.core.pool.model;

import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;

import org.tallycart.core.serving.PoolSpec;
import org.tallycart.core.serving.StageSpec;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Patterns of load on chained pools, played in virtual time.
 * <p>
 * The pools are of the kind that the users run: a call costs 200 ms whatever it holds, a
 * full one about 370 ms, and a worker has room for the results of two full calls.
 */
public class PoolLoadTests {

	private static final PoolSpec FIRST = new PoolSpec(1, 2, 7, 200, 24, 15_750_000, 4_000);

	private static final PoolSpec SECOND = new PoolSpec(1, 2, 21, 200, 8.1, 2_712_500, 4_000);

	private static final PoolSpec THIRD = new PoolSpec(1, 2, 35, 200, 4.9, 455_000, 4_000);

	private static final PoolSpec GROUPS_DO_NOT_DIVIDE = new PoolSpec(1, 2, 10, 200, 17, 1_300_000, 4_000);

	private static final List<StageSpec> CHAIN = List.of(new StageSpec("first", List.of(), 8_000),
			new StageSpec("second", List.of(0), 60_000), new StageSpec("third", List.of(1), 6_000));

	/** Least share of requests that are on time only because room is given back early. */
	private static final double LEAST_GAIN = 0.05;

	/** Most of both kinds' shares that ranks may cost. */
	private static final double MOST_LOSS = 0.05;

	private static final int SEEDS = 16;

	private static final long LENGTH_MS = 13_000;

	private static final List<Double> CHAIN_PIECES = List.of(1.0, 6.0, 10.0);

	private static PoolSimulation model(long seed, boolean early) {
		return new PoolSimulation(seed, early).pool("first", FIRST, "d", "d", "d")
			.pool("second", SECOND, "d", "d", "d", "d")
			.pool("third", THIRD, "d", "d", "d", "d");
	}

	/**
	 * A burst on a chain of pools needs all that full calls give. The room for results
	 * then binds before the workers' time does, unless a call's inputs are given back
	 * when they have been read.
	 */
	@Test
	void aBurstOnAChainIsNotHeldUpByRoomForResults() {
		RequestKind.Burst burst = new RequestKind.Burst(3_000, 9_000, 2.0);
		RequestKind kind = new RequestKind("chain", 19, 1, 2_300, 6_000, 150, CHAIN, CHAIN_PIECES, burst);
		double atTheEnd = onTime(kind, false);
		double whenRead = onTime(kind, true);
		assertTrue(whenRead - atTheEnd >= LEAST_GAIN, "on time with inputs given back at the end of the call: "
				+ atTheEnd + ", when they were read: " + whenRead);
	}

	/**
	 * A burst beyond what the pools can do, of two kinds alike but for their rank. The
	 * more urgent kind is on time, at the cost of the other, and not of the sum.
	 */
	@Test
	void inABurstBeyondThePoolsTheLeastUrgentGivesWay() {
		RequestKind.Burst burst = new RequestKind.Burst(3_000, 9_000, 2.3);
		double[] apart = bothOnTime(burst, 1, 2);
		double[] alike = bothOnTime(burst, 1, 1);
		String shares = Arrays.toString(apart) + " with ranks, " + Arrays.toString(alike) + " without";
		assertTrue(apart[0] >= alike[0] + LEAST_GAIN, shares);
		assertTrue(apart[0] + apart[1] >= alike[0] + alike[1] - MOST_LOSS, shares);
	}

	/**
	 * A burst on a chain whose middle pool gets pieces in groups of 6 for calls of 10, as
	 * large as full calls can carry. Groups taken whole or not at all would leave 4 of 10
	 * places empty, and the queue would grow as long as the burst lasts.
	 */
	@Test
	void aBurstOfGroupsThatDoNotDivideACallIsCarriedByFullCalls() {
		RequestKind.Burst burst = new RequestKind.Burst(2_000, 9_000, 2.0);
		RequestKind kind = new RequestKind("chain", 11, 1, 3_100, 6_000, 150, CHAIN, CHAIN_PIECES, burst);
		double onTime = 0;
		double piecesPerCall = 0;
		for (long seed = 1; seed <= SEEDS; seed++) {
			PoolSimulation model = new PoolSimulation(seed, true).pool("first", FIRST, "d", "d")
				.pool("second", GROUPS_DO_NOT_DIVIDE, "d", "d", "d", "d", "d")
				.pool("third", THIRD, "d", "d", "d")
				.kind(kind);
			model.run(LENGTH_MS);
			onTime += model.result("chain").onTimeShare() / SEEDS;
			piecesPerCall += model.pool("second").piecesPerCall() / SEEDS;
		}
		assertTrue(onTime >= 0.9, "on time: " + onTime + ", pieces a call: " + piecesPerCall);
	}

	private static double[] bothOnTime(RequestKind.Burst burst, int firstRank, int secondRank) {
		double[] shares = new double[2];
		for (long seed = 1; seed <= SEEDS; seed++) {
			PoolSimulation model = model(seed, true)
				.kind(new RequestKind("a", 10, firstRank, 2_300, 6_000, 150, CHAIN, CHAIN_PIECES, burst))
				.kind(new RequestKind("b", 10, secondRank, 2_500, 20_000, 150, CHAIN, CHAIN_PIECES, burst));
			model.run(LENGTH_MS);
			shares[0] += model.result("a").onTimeShare() / SEEDS;
			shares[1] += model.result("b").onTimeShare() / SEEDS;
		}
		return shares;
	}

	private static double onTime(RequestKind kind, boolean inputsGivenBackEarly) {
		return LongStream.rangeClosed(1, SEEDS).mapToDouble((seed) -> {
			PoolSimulation model = model(seed, inputsGivenBackEarly).kind(kind);
			model.run(LENGTH_MS);
			return model.result(kind.name()).onTimeShare();
		}).average().orElseThrow();
	}

}
