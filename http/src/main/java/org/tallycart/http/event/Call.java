package org.tallycart.http.event;

/**
 * Call in progress.
 * <p>
 * Not thread-safe: confined to its event loop.
 *
 * @since 0.1
 */
public interface Call {

	/** Cancel the call and close its connection; its listener is not called again. */
	void cancel();

	/**
	 * Pause or resume reading the reply.
	 * @param paused true to pause, false to resume
	 */
	void setPaused(boolean paused);

}
