package org.tallycart.load;

import java.util.Map;

/**
 * What a caller got.
 *
 * @param outcome COMPLETE, NOT_RUN, FAILED, UNKNOWN; NONE if no end of an answer came
 * @param reason the reason, or what went wrong
 * @param output the text received
 * @param requestId the request's id, for the time line
 * @param retryAfterMs when to come back; 0 if not told
 * @param firstTokenMs time to the first piece of text; -1 if none came
 * @param totalMs time to the end
 * @param cost cost by stage and use
 * @param violation what is wrong with an answer that claims to be whole; empty if nothing
 * is
 * @since 0.1
 */
public record ReceivedResponse(String outcome, String reason, String output, String requestId, long retryAfterMs,
		long firstTokenMs, long totalMs, Map<String, Double> cost, String violation) {

	/** No end of an answer came. */
	public static final String NONE = "NONE";

	/**
	 * Return whether the whole answer came.
	 * @return true for COMPLETE without a violation
	 */
	public boolean isComplete() {
		return this.outcome.equals("COMPLETE") && this.violation.isEmpty();
	}

}
