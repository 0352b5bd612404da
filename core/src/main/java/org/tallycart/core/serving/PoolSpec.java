package org.tallycart.core.serving;

/**
 * What one worker of a stage pool can do.
 *
 * @param slots calls in progress at the same time
 * @param queue calls that may wait at the worker
 * @param batch pieces in one call, at most
 * @param callMs what a call costs whatever it holds, in milliseconds
 * @param pieceMs what a piece adds, in milliseconds; differs somewhat by stage
 * @param resultMemoryBytes room for results, in bytes
 * @param handleTtlMs how long a result is kept, in milliseconds
 * @since 0.1
 */
public record PoolSpec(int slots, int queue, int batch, double callMs, double pieceMs, long resultMemoryBytes,
		long handleTtlMs) {

	/**
	 * Return how long a call is expected to take at a worker of ordinary speed.
	 * @param pieces how many pieces it holds
	 * @return milliseconds
	 */
	public double expectedMs(int pieces) {
		return this.callMs + pieces * this.pieceMs;
	}

}
