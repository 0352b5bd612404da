package org.tallycart.http.event;

import org.apache.hc.core5.http.HttpRequest;

/**
 * Handles requests of callers. Called on the event loop: must not block.
 *
 * @since 0.1
 */
public interface RequestHandler {

	/**
	 * Handle a request that has been read whole.
	 * @param head its head
	 * @param body its body, without framing
	 * @param responder where the answer goes
	 */
	void onRequest(HttpRequest head, byte[] body, Responder responder);

	/**
	 * Make the answer to a request that the connection itself refuses, before its body is
	 * read.
	 * @param status the status
	 * @param reason why, for the log
	 */
	void onRefused(int status, String reason);

	/**
	 * Return the limits in force now.
	 * @return the limits
	 */
	RequestLimits limits();

}
