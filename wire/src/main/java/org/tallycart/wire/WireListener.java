package org.tallycart.wire;

import org.tallycart.wire.message.Envelope;

/**
 * Receives the events of a client connection, and messages that are not replies. Called
 * on a transport thread and must not block.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface WireListener {

	/**
	 * Handle a message that is not a reply.
	 * @param message the message
	 */
	void onMessage(Envelope message);

	/**
	 * Handle the opening of the connection.
	 */
	default void onOpen() {
	}

	/**
	 * Handle the closing of the connection; messages in flight may be lost.
	 */
	default void onClosed() {
	}

}
