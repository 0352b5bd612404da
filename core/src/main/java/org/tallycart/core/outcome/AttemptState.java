package org.tallycart.core.outcome;

/**
 * State of one attempt at a stage call.
 *
 * @since 0.1
 */
public enum AttemptState {

	/** Chosen an upstream; no byte has been handed to a socket. */
	PLANNED,
	/** The first byte may have left. Never goes back to {@link #PLANNED}. */
	BEGUN,
	/** A whole result was accepted. */
	SUCCEEDED,
	/** The upstream refused before it ran anything, by its own answer. */
	REFUSED,
	/** The upstream reported an error. */
	FAILED,
	/** Given up: its result, if it ever comes, is dropped. */
	ABANDONED

}
