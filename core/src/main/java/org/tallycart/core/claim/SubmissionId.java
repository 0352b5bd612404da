package org.tallycart.core.claim;

/**
 * Names one submission of a key: the caller's request id, which may stand for several
 * submissions, and a part that is unique in the fleet.
 * <p>
 * Immutable and thread-safe.
 *
 * @param requestId the request
 * @param unique the unique part
 * @since 0.1
 */
public record SubmissionId(String requestId, String unique) {

	private static final char SEPARATOR = '/';

	/**
	 * Return the id as it travels.
	 * @return the text
	 */
	public String text() {
		return this.requestId + SEPARATOR + this.unique;
	}

	/**
	 * Return the request that a submission's id belongs to.
	 * @param text the id as it travels
	 * @return the request's id
	 */
	public static String requestIdOf(String text) {
		int end = text.lastIndexOf(SEPARATOR);
		return (end >= 0) ? text.substring(0, end) : text;
	}

}
