package org.tallycart.core.outcome;

/**
 * Result of a request, with the time after which its caller may retry.
 *
 * @param outcome the outcome
 * @param reason reason for the outcome
 * @param detail a short human-readable description
 * @param retryAfterMs time after which to retry, in milliseconds; 0 if a retry does not
 * help
 * @since 0.1
 */
public record RequestResult(Outcome outcome, Reason reason, String detail, long retryAfterMs) {

	/**
	 * Create the result of a complete response.
	 * @return the result
	 */
	public static RequestResult complete() {
		return new RequestResult(Outcome.COMPLETE, Reason.OK, "", 0);
	}

	/**
	 * Create a result without a retry time.
	 * @param outcome the outcome
	 * @param reason reason for the outcome
	 * @param detail a short human-readable description
	 * @return the result
	 */
	public static RequestResult of(Outcome outcome, Reason reason, String detail) {
		return new RequestResult(outcome, reason, detail, 0);
	}

}
