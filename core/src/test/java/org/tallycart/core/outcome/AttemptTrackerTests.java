package org.tallycart.core.outcome;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link AttemptTracker}.
 */
public class AttemptTrackerTests {

	private static final RequestResult NOT_RUN = RequestResult.of(Outcome.NOT_RUN, Reason.DEADLINE, "");

	@Test
	void requestWithoutBegunAttemptIsNotRun() {
		AttemptTracker tracker = AttemptTracker.create("r", false);
		tracker.plan("generate");
		assertEquals(tracker.end(NOT_RUN).outcome(), Outcome.NOT_RUN);
	}

	@DataProvider
	Object[][] outcomes() {
		return new Object[][] { { true, AttemptState.REFUSED, Outcome.NOT_RUN },
				{ true, AttemptState.FAILED, Outcome.FAILED }, { true, AttemptState.ABANDONED, Outcome.FAILED },
				{ false, AttemptState.REFUSED, Outcome.NOT_RUN }, { false, AttemptState.FAILED, Outcome.FAILED },
				{ false, AttemptState.ABANDONED, Outcome.UNKNOWN } };
	}

	@Test(dataProvider = "outcomes")
	void outcomeDependsOnTheBegunAttempts(boolean repeatable, AttemptState state, Outcome expected) {
		AttemptTracker tracker = AttemptTracker.create("r", repeatable);
		int attempt = tracker.plan("dispatch");
		assertTrue(tracker.begin(attempt));
		tracker.close(attempt, state);
		assertEquals(tracker.end(NOT_RUN).outcome(), expected);
	}

	@Test
	void failureAfterACompletedStageIsFailed() {
		AttemptTracker tracker = AttemptTracker.create("r", true);
		int encode = tracker.plan("encode");
		tracker.begin(encode);
		tracker.accept(encode);
		assertEquals(tracker.end(NOT_RUN).outcome(), Outcome.FAILED);
	}

	@Test
	void lateResultOfAnAbandonedAttemptIsDroppedAndCounted() {
		AttemptTracker tracker = AttemptTracker.create("r", true);
		int slow = tracker.plan("encode");
		tracker.begin(slow);
		int fast = tracker.plan("encode");
		tracker.begin(fast);
		assertTrue(tracker.accept(fast));
		tracker.close(slow, AttemptState.ABANDONED);
		assertFalse(tracker.accept(slow));
		assertEquals(tracker.lateResultCount(), 1);
	}

	@Test
	void nonRepeatableCallBeginsAgainOnlyAfterARefusal() {
		AttemptTracker tracker = AttemptTracker.create("r", false);
		int first = tracker.plan("dispatch");
		assertTrue(tracker.begin(first));
		assertFalse(tracker.begin(tracker.plan("dispatch")));
		tracker.close(first, AttemptState.REFUSED);
		assertTrue(tracker.begin(tracker.plan("dispatch")));
	}

	@Test
	void randomAttemptsNeverViolateTheInvariants() {
		for (long seed = 0; seed < 20_000; seed++) {
			Random random = new Random(seed);
			boolean repeatable = random.nextBoolean();
			AttemptTracker tracker = AttemptTracker.create("r" + seed, repeatable);
			List<Integer> attempts = new ArrayList<>();
			int accepted = 0;
			for (int i = 0; i < 30; i++) {
				int attempt = attempts.isEmpty() ? tracker.plan("s0") : attempts.get(random.nextInt(attempts.size()));
				switch (random.nextInt(5)) {
					case 0 -> attempts.add(tracker.plan("s" + random.nextInt(3)));
					case 1 -> tracker.begin(attempt);
					case 2 -> {
						accepted += tracker.accept(attempt) ? 1 : 0;
					}
					case 3 -> tracker.close(attempt, AttemptState.values()[3 + random.nextInt(3)]);
					default -> {
						if (random.nextInt(10) == 0) {
							RequestResult result = tracker.end(NOT_RUN);
							assertEquals(tracker.end(RequestResult.complete()), result, "an ending is set once");
							assertFalse(tracker.begin(tracker.plan("late")), "nothing begins after the ending");
						}
					}
				}
			}
			assertTrue(accepted <= 3, "one result a stage");
		}
	}

}
