package org.tallycart.core.serving;

/**
 * The load that an upstream reports about itself.
 *
 * @param running number of requests being processed
 * @param waiting number of queued requests
 * @param slots number of requests it can process concurrently
 * @param slowdown how long work takes there now, as a multiple of the usual time; over 0
 * @since 0.1
 */
public record LoadReport(int running, int waiting, int slots, double slowdown) {

	/** Slowdown of an upstream that works at its usual speed or states none. */
	public static final double USUAL_SLOWDOWN = 1;

	/**
	 * Create a report of an upstream that states no slowdown.
	 * @param running number of requests being processed
	 * @param waiting number of queued requests
	 * @param slots number of requests it can process concurrently
	 */
	public LoadReport(int running, int waiting, int slots) {
		this(running, waiting, slots, USUAL_SLOWDOWN);
	}

}
