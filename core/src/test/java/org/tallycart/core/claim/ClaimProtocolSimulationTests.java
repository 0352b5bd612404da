package org.tallycart.core.claim;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Long seeded runs of the claim protocol; see {@link ClaimProtocolSimulation}.
 */
public class ClaimProtocolSimulationTests {

	private static final int RUNS_PER_BLOCK = 1_000;

	private static final int STEPS = 600;

	@DataProvider
	Object[][] blocks() {
		return new Object[][] { { 0 }, { 1 }, { 2 }, { 3 }, { 4 } };
	}

	@Test(dataProvider = "blocks")
	void noKeyRunsTwiceWhateverTheOrder(int block) {
		int completed = 0;
		for (long seed = (long) block * RUNS_PER_BLOCK; seed < (block + 1L) * RUNS_PER_BLOCK; seed++) {
			ClaimProtocolSimulation run = new ClaimProtocolSimulation(seed);
			try {
				run.run(STEPS);
			}
			catch (Error ex) {
				throw new AssertionError("seed " + seed + ": " + ex.getMessage(), ex);
			}
			completed += run.completed();
		}
		assertTrue(completed > RUNS_PER_BLOCK, "safety by refusing everything is no success: " + completed);
	}

}
