package org.tallycart.core.time;

/**
 * Hybrid logical clock: close to wall time, and never behind anything it has seen.
 * <p>
 * Invariant: each value returned is greater than every value returned or received before.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class HybridClock {

	private HybridTimestamp last = HybridTimestamp.ZERO;

	/**
	 * Stamp a local event.
	 * @param wallMs the wall clock now, in milliseconds
	 * @return a timestamp after all earlier ones
	 */
	public synchronized HybridTimestamp tick(long wallMs) {
		this.last = (wallMs > this.last.physicalMs()) ? new HybridTimestamp(wallMs, 0)
				: new HybridTimestamp(this.last.physicalMs(), this.last.logical() + 1);
		return this.last;
	}

	/**
	 * Merge a timestamp received from another process.
	 * @param remote the received timestamp
	 * @param wallMs the wall clock now, in milliseconds
	 * @return a timestamp after the received one and all earlier ones
	 */
	public synchronized HybridTimestamp receive(HybridTimestamp remote, long wallMs) {
		if (remote.compareTo(this.last) > 0) {
			this.last = remote;
		}
		return tick(wallMs);
	}

}
