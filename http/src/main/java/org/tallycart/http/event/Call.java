package org.tallycart.http.event;

/**
 * A call in progress.
 * <p>
 * Not thread-safe: belongs to its event loop.
 *
 * @since 0.1
 */
public interface Call {

	/** Give the call up and close its connection; its listener hears nothing more. */
	void cancel();

	/**
	 * Stop or go on reading the reply.
	 * @param paused whether to stop
	 */
	void setPaused(boolean paused);

}
