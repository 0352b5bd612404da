package org.tallycart.core.pool;

import java.util.List;

import org.tallycart.core.serving.StageSpec;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link StagePlan}.
 */
public class StagePlanTests {

	/** A single stage with a large result, and a chain of three stages. */
	private static final List<StageSpec> STAGES = List.of(new StageSpec("a", List.of(), 1_500_000),
			new StageSpec("a", List.of(), 8_000), new StageSpec("b", List.of(1), 60_000),
			new StageSpec("c", List.of(2), 6_000));

	@Test
	void stagesStartWhenTheirDependenciesAreCompleted() {
		StagePlan plan = new StagePlan(STAGES, List.of(1, 1, 2, 1));
		assertEquals(plan.startReady(), List.of(1), "the large result waits for the chain");
		plan.onCompleted(1, 0, "m/1");
		assertEquals(plan.startReady(), List.of(2));
		assertEquals(plan.inputs(2), List.of("m/1"));
		plan.onCompleted(2, 1, "m/3");
		assertEquals(plan.startReady(), List.of(), "one of two inputs is missing");
		plan.onCompleted(2, 0, "m/2");
		assertEquals(plan.startReady(), List.of(3, 0));
		assertEquals(plan.inputs(3), List.of("m/2", "m/3"), "in order of pieces, not of arrival");
		assertFalse(plan.isComplete());
		plan.onCompleted(3, 0, "m/4");
		plan.onCompleted(0, 0, "m/0");
		assertTrue(plan.isComplete());
		assertEquals(plan.finalHandles(), List.of("m/0", "m/4"));
	}

	@Test
	void theCriticalPathIsTheLongestChain() {
		long[] stageMs = { 700, 100, 200, 300 };
		assertEquals(new StagePlan(STAGES, List.of(1, 1, 1, 1)).criticalPathMs((i) -> stageMs[i]), 700);
		assertEquals(new StagePlan(STAGES, List.of(0, 1, 0, 1)).criticalPathMs((i) -> stageMs[i]), 400);
		assertEquals(new StagePlan(STAGES, List.of()).criticalPathMs((i) -> stageMs[i]), 0);
	}

	@Test
	void stagesWithoutPiecesAreSkipped() {
		StagePlan plan = new StagePlan(STAGES, List.of(0, 1, 1, 1));
		assertEquals(plan.startReady(), List.of(1));
		StagePlan empty = new StagePlan(STAGES, List.of());
		assertEquals(empty.startReady(), List.of());
		assertTrue(empty.isComplete());
		assertEquals(empty.finalHandles(), List.of());
	}

	@Test
	void aStageWithLargeResultsStartsAtOnceWithoutOtherStages() {
		assertEquals(new StagePlan(STAGES, List.of(2, 0, 0, 0)).startReady(), List.of(0));
		assertEquals(new StagePlan(STAGES.subList(0, 1), List.of(1)).startReady(), List.of(0));
	}

	@Test
	void inputBytesAndDependentStagesAreReported() {
		StagePlan plan = new StagePlan(STAGES, List.of(1, 1, 6, 10));
		assertEquals(plan.inputBytes(0), 0);
		assertEquals(plan.inputBytes(2), 8_000);
		assertEquals(plan.inputBytes(3), 6 * 60_000);
		assertTrue(plan.hasReaders(2));
		assertFalse(plan.hasReaders(0));
		assertEquals(plan.stagesAfter(1), 2);
		assertEquals(plan.stagesAfter(3), 0);
	}

	@Test
	void resultsAreReleasableWhenAllDependentPiecesHaveReadThem() {
		StagePlan plan = new StagePlan(STAGES, List.of(0, 1, 1, 2));
		plan.startReady();
		plan.onCompleted(1, 0, "m/1");
		plan.startReady();
		plan.onCompleted(2, 0, "m/2");
		plan.startReady();
		plan.takeReleasable();
		plan.onInputsRead(3, 0);
		assertEquals(plan.takeReleasable(), List.of(), "the other piece still has to read it");
		plan.onInputsRead(3, 1);
		assertEquals(plan.takeReleasable(), List.of(2));
		assertFalse(plan.isComplete(), "the pieces are not made yet");
		plan.reset();
		plan.startReady();
		plan.onCompleted(1, 0, "m/3");
		plan.startReady();
		plan.onCompleted(2, 0, "m/4");
		assertEquals(plan.takeReleasable(), List.of(1), "made again, so it has to be read again");
	}

	@Test
	void resultsAreReturnedForReleaseOnce() {
		StagePlan plan = new StagePlan(STAGES, List.of(1, 1, 1, 1));
		plan.startReady();
		plan.onCompleted(0, 0, "m/0");
		plan.onCompleted(1, 0, "m/1");
		assertEquals(plan.takeReleasable(), List.of(), "the next stage still reads it");
		plan.startReady();
		plan.onCompleted(2, 0, "m/2");
		assertEquals(plan.takeReleasable(), List.of(1));
		assertEquals(plan.results(1), List.of("m/1"));
		assertEquals(plan.takeReleasable(), List.of());
		plan.startReady();
		plan.onCompleted(3, 0, "m/3");
		assertEquals(plan.takeReleasable(), List.of(2));
		assertEquals(plan.takeUnreleased(), List.of(0, 3));
		assertEquals(plan.takeUnreleased(), List.of(), "each once");
	}

	@Test
	void aResetRestartsAllStages() {
		StagePlan plan = new StagePlan(STAGES, List.of(1, 1, 1, 1));
		plan.startReady();
		plan.onCompleted(0, 0, "m/0");
		plan.takeUnreleased();
		plan.reset();
		assertEquals(plan.startReady(), List.of(1));
		assertEquals(plan.results(0), List.of());
	}

}
