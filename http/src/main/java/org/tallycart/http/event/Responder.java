package org.tallycart.http.event;

import org.apache.hc.core5.http.HttpResponse;

/**
 * Writes the answer to one request.
 * <p>
 * Invariant: one head, then parts, then one end or abort; whatever comes after the end is
 * dropped. Not thread-safe: belongs to the connection's event loop.
 *
 * @since 0.1
 */
public interface Responder {

	/**
	 * Send a whole answer.
	 * @param head its head, without framing fields
	 * @param body its body
	 */
	void send(HttpResponse head, byte[] body);

	/**
	 * Begin an answer whose length is not known; it is sent in chunks.
	 * @param head its head, without framing fields
	 */
	void begin(HttpResponse head);

	/**
	 * Send a part of the body.
	 * @param part its bytes
	 */
	void write(byte[] part);

	/** End the answer as complete. */
	void end();

	/** Close the connection, so that the answer is seen to be incomplete. */
	void abort();

	/**
	 * Register what to do when the caller is gone before the answer has ended.
	 * @param action runs at most once
	 */
	void onCallerDisconnected(Runnable action);

	/**
	 * Register what to do when the caller reads more slowly than parts are written, and
	 * when it has caught up.
	 * @param listener hears true when writing should pause, false when it may go on
	 */
	void onBackpressure(BackpressureListener listener);

	/** Hears whether writing should pause. */
	@FunctionalInterface
	interface BackpressureListener {

		/**
		 * Take note of a change.
		 * @param paused whether writing should pause
		 */
		void onPaused(boolean paused);

	}

}
