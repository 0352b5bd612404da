package org.tallycart.core.pool;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for {@link PieceLatencyEstimator}.
 */
public class PieceLatencyEstimatorTests {

	private PieceLatencyEstimator estimator = new PieceLatencyEstimator();

	@BeforeMethod
	void createEstimator() {
		this.estimator = new PieceLatencyEstimator();
	}

	private static PieceJob job(int number, int priority) {
		return PieceJob.builder(new PieceId("r", 0, number), "pool").priority(priority).build();
	}

	@Test
	void withoutOutcomesTheDefaultIsExpected() {
		assertEquals(this.estimator.expectedMs("pool", 0, 0), PieceLatencyEstimator.DEFAULT_MS);
	}

	@Test
	void theLongestPendingPieceDeterminesTheEstimate() {
		this.estimator.onSubmitted(job(0, 1), 0);
		this.estimator.onSubmitted(job(1, 1), 1_500);
		assertEquals(this.estimator.expectedMs("pool", 1, 2_000), 2_000);
		this.estimator.onWithdrawn(job(0, 1).id());
		assertEquals(this.estimator.expectedMs("pool", 1, 2_000), 500);
	}

	@Test
	void theLatestOutcomeDeterminesTheEstimateForASecond() {
		this.estimator.onSubmitted(job(0, 1), 0);
		this.estimator.onOutcome(job(0, 1).id(), 1_200);
		assertEquals(this.estimator.expectedMs("pool", 1, 1_300), 1_200);
		assertEquals(this.estimator.expectedMs("pool", 1, 2_300), PieceLatencyEstimator.DEFAULT_MS);
	}

	@Test
	void prioritiesAndPoolsAreSeparate() {
		this.estimator.onSubmitted(job(0, 1), 0);
		assertEquals(this.estimator.expectedMs("pool", 0, 2_000), PieceLatencyEstimator.DEFAULT_MS);
		assertEquals(this.estimator.expectedMs("other", 1, 2_000), PieceLatencyEstimator.DEFAULT_MS);
	}

}
