package org.tallycart.core.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * This VM's share of the retry budget of all VMs, over a sliding window: a fraction of
 * its own arrivals, and an equal share of a slack that is divided among the live VMs.
 * <p>
 * Invariant: no window grants more retries than the budget. Not thread-safe: belongs to
 * one event loop.
 *
 * @since 0.1
 */
public final class WindowedRetryBudget {

	/**
	 * Fraction of the budget that is used; the rest covers delays in the count of live
	 * VMs.
	 */
	private static final double USED_FRACTION = 0.8;

	private final double ratio;

	private final long windowMs;

	private final double slack;

	private final Deque<Long> arrivals = new ArrayDeque<>();

	private final Deque<Long> retries = new ArrayDeque<>();

	/**
	 * Create a budget.
	 * @param ratio the number of retries for each arrival
	 * @param windowMs the length of the window, in milliseconds
	 * @param slack the number of additional retries in a window, over all VMs
	 */
	public WindowedRetryBudget(double ratio, long windowMs, double slack) {
		this(windowMs, USED_FRACTION * ratio, USED_FRACTION * slack);
	}

	private WindowedRetryBudget(long windowMs, double usedRatio, double usedSlack) {
		this.windowMs = windowMs;
		this.ratio = usedRatio;
		this.slack = usedSlack;
	}

	/**
	 * Create a budget of which the whole ratio is used, since it depends only on the
	 * arrivals of this VM.
	 * @param ratio the number of retries for each arrival
	 * @param windowMs the length of the window, in milliseconds
	 * @param slack the number of additional retries in a window, over all VMs
	 * @return the budget
	 */
	static WindowedRetryBudget ofWholeRatio(double ratio, long windowMs, double slack) {
		return new WindowedRetryBudget(windowMs, ratio, USED_FRACTION * slack);
	}

	/**
	 * Record the first attempt of a request.
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onArrival(long nowMs) {
		this.arrivals.addLast(nowMs);
		expire(this.arrivals, nowMs);
	}

	/**
	 * Acquire a retry, if the budget allows one.
	 * @param sharingVms the number of VMs that share the slack
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return true if the request may be retried
	 */
	public boolean tryAcquire(int sharingVms, long nowMs) {
		expire(this.arrivals, nowMs);
		expire(this.retries, nowMs);
		if (this.retries.size() + 1 > allowed(sharingVms)) {
			return false;
		}
		this.retries.addLast(nowMs);
		return true;
	}

	private double allowed(int sharingVms) {
		return this.ratio * this.arrivals.size() + this.slack / Math.max(sharingVms, 1);
	}

	/**
	 * Return how much of the budget is used.
	 * @param sharingVms the number of VMs that share the slack
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the usage
	 */
	public RetryUsage usage(int sharingVms, long nowMs) {
		expire(this.arrivals, nowMs);
		expire(this.retries, nowMs);
		return new RetryUsage(this.retries.size(), allowed(sharingVms), this.arrivals.size(), sharingVms);
	}

	/**
	 * Return a retry that was acquired and is not made.
	 * @param acquiredMs when it was acquired, or just after, in monotonic time
	 */
	public void refund(long acquiredMs) {
		Iterator<Long> latestFirst = this.retries.descendingIterator();
		while (latestFirst.hasNext()) {
			if (latestFirst.next() <= acquiredMs) {
				latestFirst.remove();
				return;
			}
		}
	}

	private void expire(Deque<Long> times, long nowMs) {
		while (!times.isEmpty() && nowMs - times.peekFirst() > this.windowMs) {
			times.pollFirst();
		}
	}

}
