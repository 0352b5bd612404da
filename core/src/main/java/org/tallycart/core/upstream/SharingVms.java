package org.tallycart.core.upstream;

/**
 * The number of VMs by which one VM divides what all VMs share within a window, such as
 * the slack of a retry budget.
 * <p>
 * VMs may differ in the count of VMs for a while, when some start or stop or cannot reach
 * the platform's store. The largest count of late is therefore used. A VM uses no share
 * in the first window after its start: a process that it replaces may have used it, and
 * the others may not know of it yet.
 * <p>
 * Invariant: processes that follow each other on a VM use the VM's share once at most in
 * any window. Not thread-safe: belongs to one event loop.
 */
final class SharingVms {

	/** The divisor of a VM that has no share. */
	static final int NO_SHARE = Integer.MAX_VALUE;

	/** Time for which a count is remembered at least, in milliseconds. */
	private static final long REMEMBERED_MS = 60_000;

	private final long sharesFromMs;

	private long periodBegunMs;

	private int largestCount;

	private int previousLargestCount;

	/**
	 * Create a divisor.
	 * @param windowMs the length of the window, in milliseconds
	 * @param startedMs when this VM was started, in monotonic time
	 */
	SharingVms(long windowMs, long startedMs) {
		this.sharesFromMs = startedMs + windowMs;
		this.periodBegunMs = startedMs;
	}

	/**
	 * Record the count of VMs and return the divisor.
	 * @param vms the number of VMs as this VM knows it; 0 if it does not know
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the divisor; {@link #NO_SHARE} if this VM has no share
	 */
	int divisor(int vms, long nowMs) {
		if (nowMs - this.periodBegunMs >= REMEMBERED_MS) {
			boolean adjacent = nowMs - this.periodBegunMs < 2 * REMEMBERED_MS;
			this.previousLargestCount = adjacent ? this.largestCount : 0;
			this.largestCount = 0;
			this.periodBegunMs = nowMs;
		}
		this.largestCount = Math.max(this.largestCount, vms);
		boolean shares = vms > 0 && nowMs > this.sharesFromMs;
		return shares ? Math.max(this.largestCount, this.previousLargestCount) : NO_SHARE;
	}

}
