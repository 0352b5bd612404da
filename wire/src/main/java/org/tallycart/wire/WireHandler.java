package org.tallycart.wire;

import org.tallycart.wire.message.Envelope;

/**
 * Handles messages received by a server. Called on a transport thread and must not block.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface WireHandler {

	/**
	 * Handle a message.
	 * @param peer the sender
	 * @param message the message
	 */
	void onMessage(WirePeer peer, Envelope message);

}
