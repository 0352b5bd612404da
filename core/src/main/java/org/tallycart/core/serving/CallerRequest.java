package org.tallycart.core.serving;

import java.util.List;
import java.util.Optional;

/**
 * A caller's request, decoded.
 * <p>
 * Immutable, given that the body is not changed.
 *
 * @param id names this attempt of the caller
 * @param method the method
 * @param target path and query, as the caller wrote them
 * @param host the host without a port
 * @param forwarded fields that an upstream gets as they are
 * @param body the body
 * @param waitMs how long the caller waits from the request's arrival; empty if it does
 * not say
 * @param key the caller's key
 * @param prompt what a generation reads
 * @param pieceCounts the number of pieces of each stage; empty where there are none
 * @param pieceKey what pieces without inputs are made from
 * @param lastEventId the last event the caller has of a stream it resumes
 * @since 0.1
 */
public record CallerRequest(String id, String method, String target, String host, List<HeaderField> forwarded,
		byte[] body, Optional<Long> waitMs, Optional<String> key, Optional<Prompt> prompt, List<Integer> pieceCounts,
		String pieceKey, Optional<String> lastEventId) {

	/**
	 * Return the target's path.
	 * @return the path, without a query
	 */
	public String path() {
		int query = this.target.indexOf('?');
		return (query < 0) ? this.target : this.target.substring(0, query);
	}

}
