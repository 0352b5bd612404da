package org.tallycart.node.request;

/** Why an attempt is made, which decides whether it counts as a retry. */
enum AttemptReason {

	/** The first attempt of the request. */
	FIRST,

	/** A retry that the retry budget has allowed. */
	RETRY,

	/** The attempt beside it is slow, and the hedge limit has allowed another one. */
	HEDGE,

	/** The upstream before it could not be connected to, so nothing has reached it. */
	NOT_CONNECTED,

	/** The upstream before it rejected the request, since stage results were gone. */
	INPUT_GONE

}
