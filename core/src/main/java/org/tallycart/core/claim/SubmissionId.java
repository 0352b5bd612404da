package org.tallycart.core.claim;

/**
 * Identifies one submission of a key: the caller's request id, which several submissions
 * may share, and a part that is unique in the fleet.
 * <p>
 * Immutable and thread-safe.
 *
 * @param requestId request id of the caller
 * @param unique part that is unique in the fleet
 * @since 0.1
 */
public record SubmissionId(String requestId, String unique) {

	private static final char SEPARATOR = '/';

	/**
	 * Return the text form of the id, as sent between processes.
	 * @return the text
	 */
	public String text() {
		return this.requestId + SEPARATOR + this.unique;
	}

	/**
	 * Return the request id of a submission id.
	 * @param text the text form of a submission id
	 * @return the request id
	 */
	public static String requestIdOf(String text) {
		int end = text.lastIndexOf(SEPARATOR);
		return (end >= 0) ? text.substring(0, end) : text;
	}

}
