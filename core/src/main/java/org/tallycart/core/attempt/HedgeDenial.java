package org.tallycart.core.attempt;

/**
 * Why no hedge is made for a request that has waited for long enough.
 *
 * @since 0.1
 */
public enum HedgeDenial {

	/** The route allows no further attempt. */
	MAX_ATTEMPTS,

	/** A hedge would probably be answered too late. */
	DEADLINE,

	/** No other usable upstream is left. */
	NO_UPSTREAM,

	/** The service has no free slots. */
	NO_FREE_SLOTS,

	/** The hedge share of the service is used up. */
	HEDGE_SHARE,

	/** The retry budget of the service is used up. */
	RETRY_BUDGET

}
