package org.tallycart.core.upstream;

import java.util.Optional;

import org.tallycart.core.attempt.HedgeDenial;

/**
 * This VM's share of the hedges that all VMs may make for one service, over a sliding
 * window: a fraction of its own first attempts, and an equal share of a burst that is
 * divided among the VMs, see {@link SharingVms}.
 * <p>
 * Invariant: a hedge that is acquired is charged to the retry budget, too. Not
 * thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class HedgeBudget {

	private final WindowedRetryBudget hedges;

	private final double share;

	private final int burst;

	/**
	 * Create a budget.
	 * @param share hedges as a share of first attempts
	 * @param windowMs the length of the window, in milliseconds
	 * @param burst hedges in addition within the window, over all VMs
	 * @param startedMs when this VM has started to serve, in monotonic time
	 */
	public HedgeBudget(double share, long windowMs, int burst, long startedMs) {
		this.hedges = WindowedRetryBudget.ofWholeRatio(share, windowMs, burst, startedMs);
		this.share = share;
		this.burst = burst;
	}

	/**
	 * Replace the window. What was counted still counts.
	 * @param windowMs the length of the window, in milliseconds
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void updateWindow(long windowMs, long nowMs) {
		this.hedges.update(this.share, windowMs, this.burst, nowMs);
	}

	/**
	 * Record how many VMs there are, also while no hedge is sought.
	 * @param vms the number of VMs as this VM knows it; 0 if it does not know
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void observe(int vms, long nowMs) {
		this.hedges.observe(vms, nowMs);
	}

	/**
	 * Record the first attempt of a request.
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onFirstAttempt(long nowMs) {
		this.hedges.onArrival(nowMs);
	}

	/**
	 * Acquire a hedge and a retry, or neither. Both have to be sent or returned.
	 * @param retries the retry budget of the service
	 * @param vms the number of VMs as this VM knows it; 0 if it does not know
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return empty if both are acquired, else the budget that is used up
	 */
	public Optional<HedgeDenial> tryAcquire(WindowedRetryBudget retries, int vms, long nowMs) {
		if (!this.hedges.tryAcquire(vms, nowMs)) {
			return Optional.of(HedgeDenial.HEDGE_SHARE);
		}
		if (!retries.tryAcquire(vms, nowMs)) {
			this.hedges.refund();
			return Optional.of(HedgeDenial.RETRY_BUDGET);
		}
		return Optional.empty();
	}

	/**
	 * Record that a hedge that was acquired is sent. Its retry is recorded at the retry
	 * budget.
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onSent(long nowMs) {
		this.hedges.onSent(nowMs);
	}

	/**
	 * Return a hedge that was acquired and is not sent. Its retry is returned to the
	 * retry budget.
	 */
	public void refund() {
		this.hedges.refund();
	}

}
