package org.tallycart.core.upstream;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This VM's part of the budget for sending requests again, which all VMs share: a share
 * of its own arrivals, and of the slack what falls to one of the live VMs.
 * <p>
 * Invariant: in no window are more repeats granted than that. Not thread-safe: belongs to
 * one event loop.
 *
 * @since 0.1
 */
public final class WindowedRetryBudget {

	/** Part of the budget that is used, as VMs may count each other late. */
	private static final double USED_SHARE = 0.8;

	private final double ratio;

	private final long windowMs;

	private final double slack;

	private final Deque<Long> arrivals = new ArrayDeque<>();

	private final Deque<Long> repeats = new ArrayDeque<>();

	/**
	 * Create a budget.
	 * @param ratio repeats for each arrival
	 * @param windowMs the window, in milliseconds
	 * @param slack repeats beside those, over all VMs
	 */
	public WindowedRetryBudget(double ratio, long windowMs, double slack) {
		this.ratio = ratio;
		this.windowMs = windowMs;
		this.slack = slack;
	}

	/**
	 * Record a request's first send.
	 * @param nowMs the steady clock
	 */
	public void onArrival(long nowMs) {
		this.arrivals.addLast(nowMs);
		expire(this.arrivals, nowMs);
	}

	/**
	 * Ask to send a request again.
	 * @param sharingVms how many VMs share the slack
	 * @param nowMs the steady clock
	 * @return whether it may be sent
	 */
	public boolean tryAcquire(int sharingVms, long nowMs) {
		expire(this.arrivals, nowMs);
		expire(this.repeats, nowMs);
		double allowed = USED_SHARE * (this.ratio * this.arrivals.size() + this.slack / Math.max(sharingVms, 1));
		if (this.repeats.size() + 1 > allowed) {
			return false;
		}
		this.repeats.addLast(nowMs);
		return true;
	}

	private void expire(Deque<Long> times, long nowMs) {
		while (!times.isEmpty() && nowMs - times.peekFirst() > this.windowMs) {
			times.pollFirst();
		}
	}

}
