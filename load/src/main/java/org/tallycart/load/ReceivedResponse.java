package org.tallycart.load;

import java.util.Map;

/**
 * Response to a request as the caller received it.
 *
 * @param outcome COMPLETE, NOT_RUN, FAILED or UNKNOWN; {@link #NONE} if the response had
 * no end record
 * @param reason the reason for the outcome, or the kind of connection failure
 * @param output the text received
 * @param requestId the request's id, which {@code tallyctl timeline} takes
 * @param retryAfterMs time to wait before a resubmission; 0 if not stated
 * @param firstTokenMs time to the first text; -1 if no text was received
 * @param totalMs time to the end of the response
 * @param cost cost by stage and use
 * @param violation the mismatch found in a COMPLETE response; empty if there is none
 * @since 0.1
 */
public record ReceivedResponse(String outcome, String reason, String output, String requestId, long retryAfterMs,
		long firstTokenMs, long totalMs, Map<String, Double> cost, String violation) {

	/** Outcome of a response without an end record. */
	public static final String NONE = "NONE";

	/**
	 * Return whether the response is complete and was verified.
	 * @return true for COMPLETE without a violation
	 */
	public boolean isComplete() {
		return this.outcome.equals("COMPLETE") && this.violation.isEmpty();
	}

}
