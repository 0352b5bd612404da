package org.tallycart.http.event;

import org.apache.hc.core5.http.HttpRequest;

/**
 * Handler of requests of callers. Called on the event loop: must not block.
 *
 * @since 0.1
 */
public interface RequestHandler {

	/**
	 * Handle a request that was read fully.
	 * @param head the request head
	 * @param body the request body, without framing
	 * @param responder the writer of the response
	 */
	void onRequest(HttpRequest head, byte[] body, Responder responder);

	/**
	 * Handle the refusal of a request that was not read fully. The connection itself
	 * sends the response and closes.
	 * @param status the status code of the response
	 * @param reason the reason, for the log
	 */
	void onRefused(int status, String reason);

	/**
	 * Handle the close of a connection of a caller.
	 * @param end why it has closed
	 */
	default void onClosed(ConnectionEnd end) {
	}

	/**
	 * Return the active limits.
	 * @return the limits, read again for each use
	 */
	RequestLimits limits();

}
