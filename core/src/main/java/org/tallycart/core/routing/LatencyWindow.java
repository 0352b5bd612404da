package org.tallycart.core.routing;

import java.util.Arrays;

/**
 * Sliding window of the latest latency samples, and their quantiles.
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
	 * @param size the number of samples to keep
	 * @return the window
	 */
	public static LatencyWindow ofSize(int size) {
		return new LatencyWindow(size);
	}

	/**
	 * Add a sample.
	 * @param latency the latency, in the caller's unit
	 */
	public synchronized void add(long latency) {
		this.samples[this.count % this.samples.length] = latency;
		this.count++;
	}

	/**
	 * Return the number of samples in the window.
	 * @return the number of samples
	 */
	public synchronized int size() {
		return Math.min(this.count, this.samples.length);
	}

	/**
	 * Return a quantile of the samples.
	 * @param quantile the quantile, from 0 to 1
	 * @param fallback the value to return without samples
	 * @return the value of the quantile
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
