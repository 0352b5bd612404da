package org.tallycart.core.upstream;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import org.tallycart.core.attempt.HedgeDenial;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link HedgeBudget}.
 */
public class HedgeBudgetTests {

	private static final long WINDOW_MS = 10_000;

	private static final double SHARE = 0.1;

	private static final int BURST = 100;

	private static WindowedRetryBudget retries() {
		return new WindowedRetryBudget(0.2, WINDOW_MS, 1_000_000, -WINDOW_MS - 1);
	}

	/** How the counts of VMs that the VMs know differ from the true one. */
	private enum Counts {

		EXACT, FIFTH_TOO_FEW, STARTING, STOPPING;

		private int known(int vms, long nowMs, Random random) {
			return switch (this) {
				case EXACT -> vms;
				case FIFTH_TOO_FEW -> (int) Math.ceil(vms * (0.8 + 0.2 * random.nextDouble()));
				// The VMs are ten times as many, or as few, from 20 s on, and learn of it
				// within 8 s.
				case STARTING -> (nowMs < 20_000 + random.nextInt(8_000)) ? Math.max(vms / 10, 1) : vms;
				case STOPPING -> (nowMs < 20_000 + random.nextInt(8_000)) ? vms : Math.max(vms / 10, 1);
			};
		}

		private boolean isLive(int vm, int vms, long nowMs) {
			boolean few = (this == STARTING) ? nowMs < 20_000 : this == STOPPING && nowMs >= 20_000;
			return !few || vm < Math.max(vms / 10, 1);
		}

	}

	@DataProvider
	static Object[][] fleets() {
		return IntStream.of(1, 3, 28, 85, 300)
			.boxed()
			.flatMap((vms) -> Arrays.stream(Counts.values()).map((counts) -> new Object[] { vms, counts }))
			.toArray(Object[][]::new);
	}

	// Guards against VMs that exceed the hedge limit together, since they divide the
	// burst by different counts of VMs.
	@Test(dataProvider = "fleets")
	void allVmsTogetherStayWithinTheHedgeLimit(int vms, Counts counts) {
		Random random = new Random(vms);
		HedgeBudget[] budgets = new HedgeBudget[vms];
		WindowedRetryBudget[] retries = new WindowedRetryBudget[vms];
		Deque<Long> arrivals = new ArrayDeque<>();
		Deque<Long> hedges = new ArrayDeque<>();
		int most = 0;
		for (long now = 0; now < 60_000; now++) {
			for (int i = 0; i < 4; i++) {
				int vm = random.nextInt(vms);
				if (!counts.isLive(vm, vms, now)) {
					continue;
				}
				if (budgets[vm] == null) {
					budgets[vm] = new HedgeBudget(SHARE, WINDOW_MS, BURST, now);
					retries[vm] = retries();
				}
				if (i == 0) {
					budgets[vm].onFirstAttempt(now);
					arrivals.add(now);
				}
				else if (budgets[vm].tryAcquire(retries[vm], counts.known(vms, now, random), now).isEmpty()) {
					budgets[vm].onSent(now);
					retries[vm].onSent(now);
					hedges.add(now);
				}
			}
			expire(arrivals, now);
			expire(hedges, now);
			double allowed = SHARE * arrivals.size() + BURST;
			assertTrue(hedges.size() <= allowed, hedges.size() + " hedges at " + now + ", allowed " + allowed);
			most = Math.max(most, hedges.size());
		}
		assertTrue(most > SHARE * WINDOW_MS / 4, "only " + most + " hedges are made in a window");
	}

	private static void expire(Deque<Long> times, long now) {
		while (!times.isEmpty() && now - times.peekFirst() > WINDOW_MS) {
			times.removeFirst();
		}
	}

	// Guards against hedges beyond the retry budget, and against a hedge share that is
	// used up by hedges which the retry budget denies.
	@Test
	void aHedgeCountsAgainstBothLimits() {
		HedgeBudget budget = new HedgeBudget(0.1, WINDOW_MS, 0, 0);
		WindowedRetryBudget one = new WindowedRetryBudget(0, WINDOW_MS, 1 / 0.8, -WINDOW_MS);
		IntStream.range(0, 25).forEach((i) -> budget.onFirstAttempt(100));
		assertEquals(budget.tryAcquire(one, 1, 200), Optional.empty());
		assertEquals(budget.tryAcquire(one, 1, 200), Optional.of(HedgeDenial.RETRY_BUDGET));
		assertEquals(budget.tryAcquire(retries(), 1, 200), Optional.empty());
		assertEquals(budget.tryAcquire(retries(), 1, 200), Optional.of(HedgeDenial.HEDGE_SHARE));
		budget.refund();
		assertEquals(budget.tryAcquire(retries(), 1, 200), Optional.empty());
	}

}
