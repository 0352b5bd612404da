package org.tallycart.runtime.process;

import java.util.concurrent.TimeUnit;

/**
 * Provides the wall clock and the monotonic clock of a process.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class Clocks {

	/** The clocks of the system. */
	public static final Clocks SYSTEM = new Clocks();

	private Clocks() {
	}

	/**
	 * Return the time of the wall clock, which may jump.
	 * @return milliseconds since the epoch
	 */
	public long wallMs() {
		return System.currentTimeMillis();
	}

	/**
	 * Return the time of the monotonic clock, for measuring durations.
	 * @return milliseconds since an arbitrary origin
	 */
	public long monotonicMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

}
