package org.tallycart.core.pool;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for {@link PieceLatencyEstimator}.
 */
public class PieceLatencyEstimatorTests {

	private PieceLatencyEstimator times = new PieceLatencyEstimator();

	@BeforeMethod
	void begin() {
		this.times = new PieceLatencyEstimator();
	}

	private static PieceJob job(int number, int priority) {
		return PieceJob.builder(new PieceId("r", 0, number), "pool").priority(priority).build();
	}

	@Test
	void withoutAnyWordThingsAreAsUsual() {
		assertEquals(this.times.expectedMs("pool", 0, 0), PieceLatencyEstimator.USUAL_MS);
	}

	@Test
	void thePieceThatWaitsLongestTellsBeforeItHasAnOutcome() {
		this.times.onSubmitted(job(0, 1), 0);
		this.times.onSubmitted(job(1, 1), 1_500);
		assertEquals(this.times.expectedMs("pool", 1, 2_000), 2_000);
		this.times.onWithdrawn(job(0, 1).id());
		assertEquals(this.times.expectedMs("pool", 1, 2_000), 500);
	}

	@Test
	void theLastOutcomeTellsForAWhile() {
		this.times.onSubmitted(job(0, 1), 0);
		this.times.onOutcome(job(0, 1).id(), 1_200);
		assertEquals(this.times.expectedMs("pool", 1, 1_300), 1_200);
		assertEquals(this.times.expectedMs("pool", 1, 2_300), PieceLatencyEstimator.USUAL_MS);
	}

	@Test
	void ranksAndPoolsAreToldApart() {
		this.times.onSubmitted(job(0, 1), 0);
		assertEquals(this.times.expectedMs("pool", 0, 2_000), PieceLatencyEstimator.USUAL_MS);
		assertEquals(this.times.expectedMs("other", 1, 2_000), PieceLatencyEstimator.USUAL_MS);
	}

}
