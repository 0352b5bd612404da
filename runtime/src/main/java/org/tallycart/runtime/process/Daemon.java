package org.tallycart.runtime.process;

/**
 * A running process.
 *
 * @since 0.1
 */
public interface Daemon {

	/**
	 * Return the ports that the process listens on.
	 * @return entries {@code name=port}, separated by blanks
	 */
	String listeningPorts();

	/**
	 * Stop gracefully, within the configured timeout.
	 */
	void stop();

}
