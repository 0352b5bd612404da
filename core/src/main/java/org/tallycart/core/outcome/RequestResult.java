package org.tallycart.core.outcome;

/**
 * How a request ended, and when its caller may come back.
 *
 * @param outcome the outcome
 * @param reason why
 * @param detail a short text for people
 * @param retryAfterMs when to come back, in milliseconds; 0 where that does not help
 * @since 0.1
 */
public record RequestResult(Outcome outcome, Reason reason, String detail, long retryAfterMs) {

	/**
	 * Create the ending of a whole answer.
	 * @return the ending
	 */
	public static RequestResult complete() {
		return new RequestResult(Outcome.COMPLETE, Reason.OK, "", 0);
	}

	/**
	 * Create an ending of any outcome that gives no time to come back.
	 * @param outcome the outcome
	 * @param reason why
	 * @param detail a short text for people
	 * @return the ending
	 */
	public static RequestResult of(Outcome outcome, Reason reason, String detail) {
		return new RequestResult(outcome, reason, detail, 0);
	}

}
