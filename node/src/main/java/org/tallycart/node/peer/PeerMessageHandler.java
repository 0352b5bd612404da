package org.tallycart.node.peer;

import java.util.List;

import org.tallycart.wire.message.Envelope;

/**
 * Takes messages of other VMs that are not beats. Called on the event loop.
 *
 * @since 0.1
 */
public interface PeerMessageHandler {

	/**
	 * Take a message.
	 * @param vm who sent it
	 * @param message the message
	 */
	void onMessage(String vm, Envelope message);

	/**
	 * Take note that a VM is not heard any more, or no longer hears this one.
	 * @param vm the VM
	 */
	void onLost(String vm);

	/**
	 * Give all messages to several takers, each of which takes its own kinds.
	 * @param takers the takers
	 * @return one that stands for all
	 */
	static PeerMessageHandler composite(List<PeerMessageHandler> takers) {
		return new PeerMessageHandler() {

			@Override
			public void onMessage(String vm, Envelope message) {
				takers.forEach((taker) -> taker.onMessage(vm, message));
			}

			@Override
			public void onLost(String vm) {
				takers.forEach((taker) -> taker.onLost(vm));
			}

		};
	}

}
