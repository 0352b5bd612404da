package org.tallycart.core.time;

/**
 * Hybrid logical clock: stays close to the wall clock and never falls behind a timestamp
 * it has returned or received.
 * <p>
 * Invariant: each returned timestamp is greater than all timestamps returned or received
 * before. Thread-safe.
 *
 * @since 0.1
 */
public final class HybridClock {

	private HybridTimestamp last = HybridTimestamp.ZERO;

	/**
	 * Create a timestamp for a local event.
	 * @param wallMs the current wall clock time, in milliseconds
	 * @return a timestamp greater than all earlier ones
	 */
	public synchronized HybridTimestamp tick(long wallMs) {
		this.last = (wallMs > this.last.physicalMs()) ? new HybridTimestamp(wallMs, 0)
				: new HybridTimestamp(this.last.physicalMs(), this.last.logical() + 1);
		return this.last;
	}

	/**
	 * Merge a timestamp received from another process.
	 * @param remote the received timestamp
	 * @param wallMs the current wall clock time, in milliseconds
	 * @return a timestamp greater than the received one and all earlier ones
	 */
	public synchronized HybridTimestamp receive(HybridTimestamp remote, long wallMs) {
		if (remote.compareTo(this.last) > 0) {
			this.last = remote;
		}
		return tick(wallMs);
	}

}
