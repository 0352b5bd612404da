package org.tallycart.http.event;

/**
 * What a new connection tells of the process that listens at an address.
 *
 * @since 0.1
 */
public enum ProbeResult {

	/** It accepts connections. */
	ACCEPTS,
	/** Its machine refuses connections: nothing listens there. */
	REFUSES,
	/**
	 * Nothing answers in time, as where a process runs behind a path that is cut, or the
	 * connection fails in another way than by a refusal.
	 */
	SILENT

}
