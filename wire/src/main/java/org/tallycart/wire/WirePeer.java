package org.tallycart.wire;

import org.tallycart.wire.message.Envelope;

/**
 * The other end of a connection that a server accepted.
 * <p>
 * Implementations are thread-safe.
 *
 * @since 0.1
 */
public interface WirePeer {

	/**
	 * Reply to a call.
	 * @param call the call
	 * @param reply the reply's body
	 */
	void reply(Envelope call, Envelope.Builder reply);

	/**
	 * Send a message to which no reply is wanted.
	 * @param message the message's body
	 */
	void send(Envelope.Builder message);

	/**
	 * Return whether the connection is open.
	 * @return true if it is
	 */
	boolean isOpen();

}
