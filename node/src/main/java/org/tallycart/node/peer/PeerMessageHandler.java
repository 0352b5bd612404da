package org.tallycart.node.peer;

import java.util.List;

import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.NodeBeat;

/**
 * Handles messages of other VMs, except heartbeats and store contents. Called on the
 * event loop.
 *
 * @since 0.1
 */
public interface PeerMessageHandler {

	/**
	 * Handle a message.
	 * @param vm the name of the sending VM
	 * @param message the message
	 */
	void onMessage(String vm, Envelope message);

	/**
	 * Complete the reply to a heartbeat request before it is sent.
	 * @param reply the reply
	 */
	default void prepareHeartbeatReply(NodeBeat.Builder reply) {
	}

	/**
	 * Handle the heartbeat reply of a monitored VM.
	 * @param reply the reply
	 */
	default void onHeartbeatReply(NodeBeat reply) {
	}

	/**
	 * Handle the failure or the restart of a VM, after which messages in either direction
	 * may be lost.
	 * @param vm the name of the VM
	 */
	void onPeerFailed(String vm);

	/**
	 * Handle the end of this VM's connection to another VM, on which replies may have
	 * been lost.
	 * @param vm the name of the VM
	 */
	default void onConnectionClosed(String vm) {
	}

	/**
	 * Create a handler that passes each call to all given handlers.
	 * @param handlers the handlers, each of which ignores messages of other kinds
	 * @return the composite handler
	 */
	static PeerMessageHandler composite(List<PeerMessageHandler> handlers) {
		return new PeerMessageHandler() {

			@Override
			public void onMessage(String vm, Envelope message) {
				handlers.forEach((handler) -> handler.onMessage(vm, message));
			}

			@Override
			public void prepareHeartbeatReply(NodeBeat.Builder reply) {
				handlers.forEach((handler) -> handler.prepareHeartbeatReply(reply));
			}

			@Override
			public void onHeartbeatReply(NodeBeat reply) {
				handlers.forEach((handler) -> handler.onHeartbeatReply(reply));
			}

			@Override
			public void onPeerFailed(String vm) {
				handlers.forEach((handler) -> handler.onPeerFailed(vm));
			}

			@Override
			public void onConnectionClosed(String vm) {
				handlers.forEach((handler) -> handler.onConnectionClosed(vm));
			}

		};
	}

}
