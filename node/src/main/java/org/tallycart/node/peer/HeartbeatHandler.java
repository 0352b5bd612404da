package org.tallycart.node.peer;

import org.tallycart.wire.message.FeedUpdate;
import org.tallycart.wire.message.NodeBeat;

/**
 * Handles the content of heartbeats between VMs, and the store contents that VMs relay to
 * each other. Called on the event loop.
 *
 * @since 0.1
 */
public interface HeartbeatHandler {

	/**
	 * Complete a heartbeat request before it is sent.
	 * @param vm the name of the receiving VM
	 * @param request the request
	 */
	void prepareRequest(String vm, NodeBeat.Builder request);

	/**
	 * Handle a heartbeat request, and complete the reply to it.
	 * @param vm the name of the requesting VM
	 * @param request the request
	 * @param reply the reply
	 */
	void onRequest(String vm, NodeBeat request, NodeBeat.Builder reply);

	/**
	 * Handle a heartbeat reply.
	 * @param vm the name of the replying VM
	 * @param reply the reply
	 */
	void onReply(String vm, NodeBeat reply);

	/**
	 * Handle the reply to the heartbeat request of {@link PeerMesh#contact}, after
	 * {@link #onReply} for a VM that is monitored.
	 * @param vm the name of the replying VM
	 * @param reply the reply
	 */
	void onContactReply(String vm, NodeBeat reply);

	/**
	 * Handle store contents that another VM relays.
	 * @param update the contents
	 */
	void onFeedUpdate(FeedUpdate update);

}
