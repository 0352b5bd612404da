package org.tallycart.wire;

import org.tallycart.wire.message.Envelope;

/**
 * Remote process of a connection that a server accepted.
 * <p>
 * Implementations must be thread-safe.
 *
 * @since 0.1
 */
public interface WirePeer {

	/**
	 * Reply to a call. Nothing is sent if the message is one-way.
	 * @param call the received message
	 * @param reply the body of the reply
	 */
	void reply(Envelope call, Envelope.Builder reply);

	/**
	 * Send a one-way message.
	 * @param message the body of the message
	 */
	void send(Envelope.Builder message);

	/**
	 * Return how much is queued for the remote process, since it reads more slowly than
	 * messages are sent.
	 * @return the size in bytes; 0 if the connection is closed
	 */
	long queuedBytes();

	/**
	 * Return whether the connection is open.
	 * @return {@code true} if the connection is open
	 */
	boolean isOpen();

}
