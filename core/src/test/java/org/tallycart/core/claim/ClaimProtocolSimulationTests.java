package org.tallycart.core.claim;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Runs {@link ClaimProtocolSimulation} with many seeds. Guards against executing a key
 * twice.
 */
public class ClaimProtocolSimulationTests {

	private static final int RUNS_PER_BLOCK = 1_000;

	private static final int STEPS = 600;

	@DataProvider
	Object[][] blocks() {
		return new Object[][] { { 0 }, { 1 }, { 2 }, { 3 }, { 4 } };
	}

	@Test(dataProvider = "blocks")
	void noKeyIsExecutedTwice(int block) {
		int completed = 0;
		for (long seed = (long) block * RUNS_PER_BLOCK; seed < (block + 1L) * RUNS_PER_BLOCK; seed++) {
			ClaimProtocolSimulation simulation = new ClaimProtocolSimulation(seed);
			try {
				simulation.run(STEPS);
			}
			catch (Error ex) {
				throw new AssertionError("seed " + seed + ": " + ex.getMessage(), ex);
			}
			completed += simulation.completed();
		}
		assertTrue(completed > RUNS_PER_BLOCK, "safety by refusing everything is no success: " + completed);
	}

}
