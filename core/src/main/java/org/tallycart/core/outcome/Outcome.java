package org.tallycart.core.outcome;

/**
 * Outcome of a request.
 *
 * @since 0.1
 */
public enum Outcome {

	/** The complete response was validated and delivered. */
	COMPLETE,

	/** No byte of any stage call has been sent for this idempotency key. */
	NOT_RUN,

	/**
	 * A stage was executed, no stage has an unknown effect, and the response is
	 * incomplete.
	 */
	FAILED,

	/** A call that must not be repeated was sent, and its result is unknown. */
	UNKNOWN

}
