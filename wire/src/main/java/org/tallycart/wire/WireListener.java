package org.tallycart.wire;

import org.tallycart.wire.message.Envelope;

/**
 * Takes messages that are not replies.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface WireListener {

	/**
	 * Take a message. Called on a transport thread: must not block.
	 * @param message the message
	 */
	void onMessage(Envelope message);

	/**
	 * Take note that the connection was opened.
	 */
	default void onOpen() {
	}

	/**
	 * Take note that the connection was closed; messages on their way may be lost.
	 */
	default void onClosed() {
	}

}
