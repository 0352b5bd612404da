package org.tallycart.core.serving;

/**
 * Capacity and cost model of one worker of a stage pool.
 *
 * @param slots maximum number of concurrent calls
 * @param queue maximum number of calls queued at the worker
 * @param batch maximum number of pieces in one call
 * @param callMs fixed cost of a call, in milliseconds
 * @param pieceMs average cost of each piece in a call, in milliseconds
 * @param resultMemoryBytes memory for results, in bytes
 * @param handleTtlMs retention time of a result, in milliseconds
 * @since 0.1
 */
public record PoolSpec(int slots, int queue, int batch, double callMs, double pieceMs, long resultMemoryBytes,
		long handleTtlMs) {

	/**
	 * Return the expected duration of a call at a worker of average speed.
	 * @param pieces number of pieces in the call
	 * @return the duration, in milliseconds
	 */
	public double expectedMs(int pieces) {
		return this.callMs + pieces * this.pieceMs;
	}

}
