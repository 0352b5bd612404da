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
	void nothingBegunIsNotRun() {
		AttemptTracker ledger = AttemptTracker.create("r", false);
		ledger.plan("generate");
		assertEquals(ledger.end(NOT_RUN).outcome(), Outcome.NOT_RUN);
	}

	@DataProvider
	Object[][] endings() {
		return new Object[][] { { true, AttemptState.REFUSED, Outcome.NOT_RUN },
				{ true, AttemptState.FAILED, Outcome.FAILED }, { true, AttemptState.ABANDONED, Outcome.FAILED },
				{ false, AttemptState.REFUSED, Outcome.NOT_RUN }, { false, AttemptState.FAILED, Outcome.FAILED },
				{ false, AttemptState.ABANDONED, Outcome.UNKNOWN } };
	}

	@Test(dataProvider = "endings")
	void theOutcomeToldFollowsWhatBegan(boolean repeatable, AttemptState state, Outcome expected) {
		AttemptTracker ledger = AttemptTracker.create("r", repeatable);
		int attempt = ledger.plan("dispatch");
		assertTrue(ledger.begin(attempt));
		ledger.close(attempt, state);
		assertEquals(ledger.end(NOT_RUN).outcome(), expected);
	}

	@Test
	void aLaterStagesRefusalIsFailedNotNotRun() {
		AttemptTracker ledger = AttemptTracker.create("r", true);
		int encode = ledger.plan("encode");
		ledger.begin(encode);
		ledger.accept(encode);
		assertEquals(ledger.end(NOT_RUN).outcome(), Outcome.FAILED);
	}

	@Test
	void aLateAnswerOfAnAbandonedAttemptIsDroppedAndCounted() {
		AttemptTracker ledger = AttemptTracker.create("r", true);
		int slow = ledger.plan("encode");
		ledger.begin(slow);
		int fast = ledger.plan("encode");
		ledger.begin(fast);
		assertTrue(ledger.accept(fast));
		ledger.close(slow, AttemptState.ABANDONED);
		assertFalse(ledger.accept(slow));
		assertEquals(ledger.lateResultCount(), 1);
	}

	@Test
	void aCallThatMayNotBeRepeatedBeginsAgainOnlyAfterARefusal() {
		AttemptTracker ledger = AttemptTracker.create("r", false);
		int first = ledger.plan("dispatch");
		assertTrue(ledger.begin(first));
		assertFalse(ledger.begin(ledger.plan("dispatch")));
		ledger.close(first, AttemptState.REFUSED);
		assertTrue(ledger.begin(ledger.plan("dispatch")));
	}

	@Test
	void randomAttemptsNeverBreakTheInvariants() {
		for (long seed = 0; seed < 20_000; seed++) {
			Random random = new Random(seed);
			boolean repeatable = random.nextBoolean();
			AttemptTracker ledger = AttemptTracker.create("r" + seed, repeatable);
			List<Integer> attempts = new ArrayList<>();
			int accepted = 0;
			for (int i = 0; i < 30; i++) {
				int attempt = attempts.isEmpty() ? ledger.plan("s0") : attempts.get(random.nextInt(attempts.size()));
				switch (random.nextInt(5)) {
					case 0 -> attempts.add(ledger.plan("s" + random.nextInt(3)));
					case 1 -> ledger.begin(attempt);
					case 2 -> {
						accepted += ledger.accept(attempt) ? 1 : 0;
					}
					case 3 -> ledger.close(attempt, AttemptState.values()[3 + random.nextInt(3)]);
					default -> {
						if (random.nextInt(10) == 0) {
							RequestResult ending = ledger.end(NOT_RUN);
							assertEquals(ledger.end(RequestResult.complete()), ending, "an ending is set once");
							assertFalse(ledger.begin(ledger.plan("late")), "nothing begins after the ending");
						}
					}
				}
			}
			assertTrue(accepted <= 3, "one result a stage");
		}
	}

}
