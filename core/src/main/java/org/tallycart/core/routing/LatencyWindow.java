package org.tallycart.core.routing;

import java.util.Arrays;

/**
 * The latest latencies of something, and their quantiles.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class LatencyWindow {

	private final long[] samples;

	private int count;

	private LatencyWindow(int size) {
		this.samples = new long[size];
	}

	/**
	 * Create a window.
	 * @param size how many samples it keeps
	 * @return the window
	 */
	public static LatencyWindow ofSize(int size) {
		return new LatencyWindow(size);
	}

	/**
	 * Add a sample.
	 * @param millis the latency
	 */
	public synchronized void add(long millis) {
		this.samples[this.count % this.samples.length] = millis;
		this.count++;
	}

	/**
	 * Return the number of samples kept.
	 * @return the number
	 */
	public synchronized int size() {
		return Math.min(this.count, this.samples.length);
	}

	/**
	 * Return a quantile.
	 * @param quantile from 0 to 1
	 * @param fallback what to return while there is no sample
	 * @return the quantile
	 */
	public synchronized long quantile(double quantile, long fallback) {
		int size = size();
		if (size == 0) {
			return fallback;
		}
		long[] sorted = Arrays.copyOf(this.samples, size);
		Arrays.sort(sorted);
		return sorted[(int) Math.min(size - 1, Math.floor(quantile * size))];
	}

}
