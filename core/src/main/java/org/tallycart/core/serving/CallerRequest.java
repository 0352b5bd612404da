package org.tallycart.core.serving;

import java.util.List;
import java.util.Optional;

/**
 * A decoded caller request.
 * <p>
 * Immutable as long as the body array is not modified.
 *
 * @param id the request id, unique to one attempt of the caller
 * @param method the HTTP method
 * @param target path and query, as sent by the caller
 * @param host the host, without a port
 * @param forwarded header fields passed to an upstream unchanged
 * @param body the request body
 * @param waitMs time the caller waits, measured from the arrival of the request, in
 * milliseconds; empty if not stated
 * @param key the caller's API key; empty if none was sent
 * @param prompt the prompt, for a generation request
 * @param pieceCounts the number of pieces of each stage; empty if the request has no
 * stages
 * @param pieceKey the key of the source data for pieces without inputs
 * @param lastEventId the id of the last event received, if the caller resumes a stream
 * @param resumedRequest the id of the request that brought the first event of the stream,
 * if the caller resumes one
 * @since 0.1
 */
public record CallerRequest(String id, String method, String target, String host, List<HeaderField> forwarded,
		byte[] body, Optional<Long> waitMs, Optional<String> key, Optional<Prompt> prompt, List<Integer> pieceCounts,
		String pieceKey, Optional<String> lastEventId, Optional<String> resumedRequest) {

	/**
	 * Return whether the caller resumes a stream that an earlier request began.
	 * @return true if it names the last event or the earlier request
	 */
	public boolean resumesStream() {
		return this.lastEventId.isPresent() || this.resumedRequest.isPresent();
	}

	/**
	 * Return the path of the request target.
	 * @return the path, without a query
	 */
	public String path() {
		int query = this.target.indexOf('?');
		return (query < 0) ? this.target : this.target.substring(0, query);
	}

}
