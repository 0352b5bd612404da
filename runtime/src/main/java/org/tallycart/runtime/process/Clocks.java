package org.tallycart.runtime.process;

import java.util.concurrent.TimeUnit;

/**
 * The clocks of a process.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class Clocks {

	/** The system's clocks. */
	public static final Clocks SYSTEM = new Clocks();

	private Clocks() {
	}

	/**
	 * Return the wall clock.
	 * @return milliseconds since the epoch
	 */
	public long wallMs() {
		return System.currentTimeMillis();
	}

	/**
	 * Return the monotonic clock.
	 * @return milliseconds since some moment
	 */
	public long monotonicMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

}
