package org.tallycart.http.event;

import org.apache.hc.core5.http.HttpResponse;

/**
 * Writer of the response to one request.
 * <p>
 * Invariant: one head, then parts, then one end or abort; calls after the end have no
 * effect. Not thread-safe: confined to the event loop of the connection.
 *
 * @since 0.1
 */
public interface Responder {

	/**
	 * Send a full response.
	 * @param head the response head, without framing fields
	 * @param body the response body
	 */
	void send(HttpResponse head, byte[] body);

	/**
	 * Begin a response whose length is not known in advance. It is chunked, or delimited
	 * by the close of the connection for a caller that speaks HTTP/1.0.
	 * @param head the response head, without framing fields
	 */
	void begin(HttpResponse head);

	/**
	 * Begin a response that is delimited by the close of the connection. If it does not
	 * end in order, the connection is reset, since a close would complete it.
	 * @param head the response head, without framing fields
	 */
	void beginUntilClose(HttpResponse head);

	/**
	 * Send a part of the body.
	 * @param part the bytes of the part
	 */
	void write(byte[] part);

	/** Complete the response that was begun. */
	void end();

	/** Close the connection, so that the caller detects an incomplete response. */
	void abort();

	/**
	 * Set the action to run when the caller disconnects before the response has ended.
	 * @param action the action, run at most once
	 */
	void onCallerDisconnected(Runnable action);

	/**
	 * Set the action to run when the handling of the request has failed unexpectedly. If
	 * the action leaves the request without a response, the connection sends an error.
	 * @param action the action, run at most once
	 */
	void onHandlingFailed(Runnable action);

	/**
	 * Set the listener to notify when the caller reads more slowly than parts are
	 * written, and when it has caught up.
	 * @param listener the listener
	 */
	void onBackpressure(BackpressureListener listener);

	/** Listener for backpressure of the caller. */
	@FunctionalInterface
	interface BackpressureListener {

		/**
		 * Handle a change of the backpressure.
		 * @param paused true if writing should pause, false if it may resume
		 */
		void onPaused(boolean paused);

	}

}
