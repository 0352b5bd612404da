package org.tallycart.core.outcome;

/**
 * The closed set of outcomes a request can have.
 *
 * @since 0.1
 */
public enum Outcome {

	/** The whole answer was delivered and checked. */
	COMPLETE,

	/** No byte of any stage's call has left this system for this idempotency key. */
	NOT_RUN,

	/** Some stage ran, none has an unknown effect, and the answer is not complete. */
	FAILED,

	/** A call that may not be repeated was sent, and its result is not known. */
	UNKNOWN

}
