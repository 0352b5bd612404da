package org.tallycart.http.event;

/**
 * Result of probing an address with a new connection.
 *
 * @since 0.1
 */
public enum ProbeResult {

	/** The connection was accepted. */
	ACCEPTS,
	/** The connection was refused: no process listens at the address. */
	REFUSES,
	/**
	 * The connect timeout passed, or the connection failed in another way than by a
	 * refusal. The process may still run, for example behind a network partition.
	 */
	SILENT

}
