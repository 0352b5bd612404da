package org.tallycart.core.outcome;

/**
 * State of an attempt at a stage call.
 *
 * @since 0.1
 */
public enum AttemptState {

	/** An upstream has been selected; no byte has been written to a socket. */
	PLANNED,
	/** The first byte may have been sent. Never returns to {@link #PLANNED}. */
	BEGUN,
	/** A complete result was accepted. */
	SUCCEEDED,
	/** The upstream replied that it refused the call without executing it. */
	REFUSED,
	/** The upstream reported an error. */
	FAILED,
	/** Abandoned by this system; a late result is dropped. */
	ABANDONED

}
