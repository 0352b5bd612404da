package org.tallycart.core.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.tallycart.core.outcome.InvariantViolation;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link WindowedRetryBudget}.
 */
public class WindowedRetryBudgetTests {

	private static final long WINDOW_MS = 10_000;

	@Test
	void retriesAreLimitedByArrivalsAndSlack() {
		WindowedRetryBudget budget = new WindowedRetryBudget(0.2, WINDOW_MS, 50, -WINDOW_MS);
		for (int i = 0; i < 100; i++) {
			budget.onArrival(i);
		}
		int granted = 0;
		while (budget.tryAcquire(5, 200)) {
			budget.onSent(200);
			granted++;
		}
		assertEquals(granted, 24, "0.8 x (0.2 x 100 + 50 / 5)");
		assertTrue(budget.tryAcquire(5, 201 + WINDOW_MS), "the slack of the next window");
	}

	// Guards against retries that were given up, but use up the budget.
	@Test
	void aRetryThatIsNotMadeIsReturned() {
		WindowedRetryBudget budget = new WindowedRetryBudget(0, WINDOW_MS, 2 / 0.8, -WINDOW_MS);
		assertTrue(budget.tryAcquire(1, 100));
		assertTrue(budget.tryAcquire(1, 200));
		assertFalse(budget.tryAcquire(1, 300));
		budget.refund();
		assertTrue(budget.tryAcquire(1, 300));
		budget.onSent(300);
		budget.onSent(300);
		assertFalse(budget.tryAcquire(1, 400));
		assertThrows(InvariantViolation.class, budget::refund);
	}

	// Guards against retries that wait, for stage work or a permit, and reach the
	// upstream
	// in the same window as others that were acquired a window later.
	@Test
	void aRetryCountsFromItsGrantUntilAWindowAfterItIsSent() {
		WindowedRetryBudget budget = new WindowedRetryBudget(0, WINDOW_MS, 1 / 0.8, -WINDOW_MS);
		assertTrue(budget.tryAcquire(1, 100));
		assertFalse(budget.tryAcquire(1, 200 + WINDOW_MS));
		budget.onSent(300 + WINDOW_MS);
		assertFalse(budget.tryAcquire(1, 300 + 2 * WINDOW_MS));
		assertTrue(budget.tryAcquire(1, 301 + 2 * WINDOW_MS));
	}

	// Guards against VMs that take a share each while none knows how many there are.
	@Test
	void aVmThatDoesNotKnowTheCountOfVmsHasNoSlack() {
		WindowedRetryBudget budget = new WindowedRetryBudget(0, WINDOW_MS, 50, -WINDOW_MS);
		assertFalse(budget.tryAcquire(0, 100));
		assertTrue(budget.tryAcquire(5, 200));
	}

	// Guards against retries that are forgotten when the window becomes longer.
	@Test
	void aLongerWindowGrantsNoSlackAgain() {
		WindowedRetryBudget budget = new WindowedRetryBudget(0, WINDOW_MS, 1 / 0.8, -WINDOW_MS);
		assertTrue(budget.tryAcquire(1, 100));
		budget.onSent(100);
		long changedMs = 200 + WINDOW_MS;
		budget.onArrival(changedMs);
		assertEquals(budget.usage(1, changedMs).retries(), 0);
		budget.update(0, 3 * WINDOW_MS, 1 / 0.8, changedMs);
		assertFalse(budget.tryAcquire(1, 100 + 3 * WINDOW_MS));
		assertTrue(budget.tryAcquire(1, changedMs + 3 * WINDOW_MS + 1));
	}

	@Test
	void allVmsTogetherStayWithinTheBudgetInEveryWindow() {
		Random random = new Random(5);
		int vms = 6;
		List<WindowedRetryBudget> budgets = new ArrayList<>();
		for (int i = 0; i < vms; i++) {
			budgets.add(new WindowedRetryBudget(0.2, WINDOW_MS, 52, -WINDOW_MS));
		}
		List<Long> arrivals = new ArrayList<>();
		List<Long> retries = new ArrayList<>();
		for (long now = 0; now < 60_000; now += 10) {
			WindowedRetryBudget budget = budgets.get(random.nextInt(vms));
			if (random.nextInt(3) == 0) {
				budget.onArrival(now);
				arrivals.add(now);
			}
			if (random.nextInt(2) == 0 && budget.tryAcquire(vms, now)) {
				budget.onSent(now);
				retries.add(now);
			}
		}
		for (long begin = 0; begin < 50_000; begin += 500) {
			double allowed = 0.2 * within(arrivals, begin) + 52;
			assertTrue(within(retries, begin) <= allowed);
		}
	}

	private static long within(List<Long> times, long begin) {
		return times.stream().filter((time) -> time >= begin && time < begin + WINDOW_MS).count();
	}

}
