package org.tallycart.node.request;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import io.netty.channel.embedded.EmbeddedChannel;
import org.tallycart.core.serving.NodeSettings.PlatformLimits;
import org.tallycart.node.EventLoop;
import org.tallycart.runtime.process.TaskFailureHandler;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link RetryBudgets} of all VMs together, in virtual time. Each VM retries
 * whenever its budget allows it.
 */
public class RetryBudgetsTests {

	private static final int VMS = 6;

	private static final long WINDOW_MS = 10_000;

	private static final double RATIO = 0.2;

	private static final double SLACK = 52;

	private static final PlatformLimits LIMITS = new PlatformLimits(8_000, RATIO, WINDOW_MS, SLACK);

	private static final long LENGTH_MS = 70_000;

	private static final long STEP_MS = 10;

	private static final long TROUBLE_MS = 25_000;

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private long nowMs;

	/** What happens to the VMs. */
	private enum Trouble {

		NONE,
		/** All VMs are lost and start again, twice within a window. */
		ALL_LOST_TWICE,
		/** The VMs are restarted one after the other. */
		ROLLING_RESTART,
		/** All VMs are lost, and their lists fill up only after they have started. */
		ALL_LOST_AND_LISTS_INCOMPLETE,
		/**
		 * Half of the VMs cannot reach the store, so that their entries expire at the
		 * others.
		 */
		ENTRIES_EXPIRED,
		/** The time for a graceful stop is changed three times within a window. */
		SETTINGS_CHANGED;

		private boolean startsAnew(int vm, long nowMs) {
			return switch (this) {
				case ALL_LOST_TWICE -> nowMs == TROUBLE_MS || nowMs == TROUBLE_MS + 4_000;
				case ROLLING_RESTART -> nowMs == TROUBLE_MS + 1_300L * vm;
				case ALL_LOST_AND_LISTS_INCOMPLETE -> nowMs == TROUBLE_MS;
				default -> false;
			};
		}

		private int knownVms(int vm, long nowMs) {
			return switch (this) {
				case ALL_LOST_AND_LISTS_INCOMPLETE ->
					(nowMs < TROUBLE_MS) ? VMS : (int) Math.min(1 + (nowMs - TROUBLE_MS) / 500, VMS);
				case ENTRIES_EXPIRED ->
					(nowMs < TROUBLE_MS || nowMs > TROUBLE_MS + 30_000 || vm < VMS / 2) ? VMS : VMS / 2;
				default -> VMS;
			};
		}

		private boolean changesSettings(long nowMs) {
			return this == SETTINGS_CHANGED && nowMs >= TROUBLE_MS && nowMs <= TROUBLE_MS + 4_000
					&& (nowMs - TROUBLE_MS) % 2_000 == 0;
		}

	}

	@DataProvider
	static Object[][] troubles() {
		return Arrays.stream(Trouble.values()).map((trouble) -> new Object[] { trouble }).toArray(Object[][]::new);
	}

	// Guards against VMs that exceed the retry budget together, since each start, each
	// change of the settings or each VM that is missing in a list grants slack again.
	@Test(dataProvider = "troubles")
	void allVmsTogetherStayWithinTheBudgetInEveryWindow(Trouble trouble) {
		EventLoop loop = new EventLoop(this.channel.eventLoop(), TaskFailureHandler.install((code, detail) -> {
		}), () -> this.nowMs);
		Random random = new Random(1);
		RetryBudgets[] budgets = new RetryBudgets[VMS];
		List<Long> arrivals = new ArrayList<>();
		List<Long> retries = new ArrayList<>();
		for (this.nowMs = 0; this.nowMs < LENGTH_MS; this.nowMs += STEP_MS) {
			for (int i = 0; i < VMS; i++) {
				int vm = i;
				if (budgets[vm] == null || trouble.startsAnew(vm, this.nowMs)) {
					budgets[vm] = new RetryBudgets(LIMITS, loop, () -> trouble.knownVms(vm, this.nowMs));
				}
				if (trouble.changesSettings(this.nowMs)) {
					budgets[vm].update(new PlatformLimits(this.nowMs, RATIO, WINDOW_MS, SLACK));
				}
				if (random.nextInt(VMS * 4) == 0) {
					budgets[vm].onArrival("s");
					arrivals.add(this.nowMs);
				}
				if (budgets[vm].tryAcquire("s")) {
					budgets[vm].onSent("s");
					retries.add(this.nowMs);
				}
			}
		}
		for (long begin = 0; begin <= LENGTH_MS - WINDOW_MS; begin += 100) {
			int requests = Math.max(within(arrivals, begin),
					Math.max(within(arrivals, begin - WINDOW_MS), within(arrivals, begin - WINDOW_MS / 2)));
			double allowed = RATIO * requests + SLACK;
			int made = within(retries, begin);
			assertTrue(made <= allowed, made + " retries in the window from " + begin + ", allowed " + allowed);
		}
		assertTrue(within(retries, 0) + within(retries, WINDOW_MS) > SLACK, "the budget is used");
	}

	private static int within(List<Long> times, long begin) {
		return (int) times.stream().filter((time) -> time >= begin && time < begin + WINDOW_MS).count();
	}

}
