package org.tallycart.core.upstream;

import java.util.ArrayDeque;
import java.util.Deque;

import org.tallycart.core.outcome.InvariantViolation;

/**
 * This VM's share of the retry budget of all VMs, over a sliding window: a fraction of
 * its own arrivals, and an equal share of a slack that is divided among the VMs, see
 * {@link SharingVms}.
 * <p>
 * A retry counts from the time at which it is acquired until a window after it is sent,
 * since it may have to wait before it can be sent.
 * <p>
 * Invariant: no more retries are sent in any window than the budget allows, also when
 * processes follow each other on a VM or the limits change. Not thread-safe: belongs to
 * one event loop.
 *
 * @since 0.1
 */
public final class WindowedRetryBudget {

	/**
	 * Fraction of the budget that is used; the rest covers delays in the count of VMs.
	 */
	private static final double USED_FRACTION = 0.8;

	private final double usedRatioFraction;

	private final Deque<Long> arrivals = new ArrayDeque<>();

	private final Deque<Long> sentRetries = new ArrayDeque<>();

	private int unsentRetries;

	private double ratio;

	private long windowMs;

	private double slack;

	private SharingVms sharingVms;

	/**
	 * Create a budget.
	 * @param ratio the number of retries for each arrival
	 * @param windowMs the length of the window, in milliseconds
	 * @param slack the number of additional retries in a window, over all VMs
	 * @param startedMs when this VM was started, in monotonic time
	 */
	public WindowedRetryBudget(double ratio, long windowMs, double slack, long startedMs) {
		this(USED_FRACTION, ratio, windowMs, slack, startedMs);
	}

	private WindowedRetryBudget(double usedRatioFraction, double ratio, long windowMs, double slack, long startedMs) {
		this.usedRatioFraction = usedRatioFraction;
		this.ratio = usedRatioFraction * ratio;
		this.windowMs = windowMs;
		this.slack = USED_FRACTION * slack;
		this.sharingVms = new SharingVms(windowMs, startedMs);
	}

	/**
	 * Create a budget of which the whole ratio is used, since it depends only on the
	 * arrivals of this VM.
	 * @param ratio the number of retries for each arrival
	 * @param windowMs the length of the window, in milliseconds
	 * @param slack the number of additional retries in a window, over all VMs
	 * @param startedMs when this VM was started, in monotonic time
	 * @return the budget
	 */
	static WindowedRetryBudget ofWholeRatio(double ratio, long windowMs, double slack, long startedMs) {
		return new WindowedRetryBudget(1, ratio, windowMs, slack, startedMs);
	}

	/**
	 * Replace the limits. What was counted still counts. With a longer window, in which
	 * forgotten retries may still count, the slack is not used for as long as after a
	 * start.
	 * @param newRatio the number of retries for each arrival
	 * @param newWindowMs the length of the window, in milliseconds
	 * @param newSlack the number of additional retries in a window, over all VMs
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void update(double newRatio, long newWindowMs, double newSlack, long nowMs) {
		this.ratio = this.usedRatioFraction * newRatio;
		this.slack = USED_FRACTION * newSlack;
		if (newWindowMs > this.windowMs) {
			this.sharingVms = new SharingVms(newWindowMs, nowMs);
		}
		this.windowMs = newWindowMs;
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
	 * Record how many VMs there are, also while no retry is sought.
	 * @param vms the number of VMs as this VM knows it; 0 if it does not know
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void observe(int vms, long nowMs) {
		this.sharingVms.divisor(vms, nowMs);
	}

	/**
	 * Acquire a retry, if the budget allows one. It has to be sent or returned.
	 * @param vms the number of VMs as this VM knows it; 0 if it does not know
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return true if the request may be retried
	 */
	public boolean tryAcquire(int vms, long nowMs) {
		RetryUsage usage = usage(vms, nowMs);
		if (usage.retries() + 1 > usage.allowed()) {
			return false;
		}
		this.unsentRetries++;
		return true;
	}

	/**
	 * Record that a retry that was acquired is sent.
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onSent(long nowMs) {
		refund();
		this.sentRetries.addLast(nowMs);
	}

	/**
	 * Return how much of the budget is used.
	 * @param vms the number of VMs as this VM knows it; 0 if it does not know
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the usage
	 */
	public RetryUsage usage(int vms, long nowMs) {
		expire(this.arrivals, nowMs);
		expire(this.sentRetries, nowMs);
		int divisor = this.sharingVms.divisor(vms, nowMs);
		double slackShare = (divisor == SharingVms.NO_SHARE) ? 0 : this.slack / divisor;
		return new RetryUsage(this.sentRetries.size() + this.unsentRetries,
				this.ratio * this.arrivals.size() + slackShare, this.arrivals.size(), divisor);
	}

	/** Return a retry that was acquired and is not sent. */
	public void refund() {
		InvariantViolation.check(this.unsentRetries > 0, "no retry was acquired");
		this.unsentRetries--;
	}

	private void expire(Deque<Long> times, long nowMs) {
		while (!times.isEmpty() && nowMs - times.peekFirst() > this.windowMs) {
			times.pollFirst();
		}
	}

}
