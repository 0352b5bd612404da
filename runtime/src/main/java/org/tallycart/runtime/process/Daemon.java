package org.tallycart.runtime.process;

/**
 * A running process.
 *
 * @since 0.1
 */
public interface Daemon {

	/**
	 * Name the ports listened on, as words {@code name=port}.
	 * @return the words
	 */
	String listeningPorts();

	/**
	 * Stop gracefully, within the configured time.
	 */
	void stop();

}
