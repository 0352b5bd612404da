package org.tallycart.core.attempt;

/**
 * When a hedge is made beside an attempt that has not been answered.
 *
 * @param afterMs the time since the attempt was sent, in milliseconds
 * @param typicalMs the median time until an attempt is answered, in milliseconds
 * @since 0.1
 */
public record HedgeDelay(long afterMs, long typicalMs) {

	/**
	 * Time for which a cancelled attempt still counts as in flight, as a multiple of the
	 * time that it has waited. What it would have taken is unknown; at an upstream that
	 * is ten times slower, hedges come after two to three times the usual time.
	 */
	private static final long COUNTED_FACTOR = 4;

	/** Least time until a hedge that was denied is tried again, in milliseconds. */
	private static final long MIN_RETRY_MS = 10;

	/**
	 * Return the time until a hedge that was denied is tried again, so that the requests
	 * that wait longest get the next ones that the limits allow. It doubles each time,
	 * since all requests of a service may wait.
	 * @return milliseconds
	 */
	public long retryMs() {
		return Math.max(this.typicalMs, MIN_RETRY_MS);
	}

	/**
	 * Return for how long an attempt that lost against its hedge still counts as in
	 * flight at its upstream. Without it, a slow upstream would look idle to the choice
	 * of upstreams and get more requests than others.
	 * @param waitedMs the time that the attempt had waited, in milliseconds
	 * @return milliseconds from its cancellation
	 */
	public static long countedMs(long waitedMs) {
		return waitedMs * COUNTED_FACTOR;
	}

}
