package org.tallycart.wire;

import org.tallycart.wire.message.Envelope;

/**
 * Handles messages that arrive at a server. Called on a transport thread: must not block.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface WireHandler {

	/**
	 * Handle a message.
	 * @param peer who sent it
	 * @param message the message
	 */
	void onMessage(WirePeer peer, Envelope message);

}
