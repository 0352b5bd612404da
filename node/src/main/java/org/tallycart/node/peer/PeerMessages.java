package org.tallycart.node.peer;

import org.tallycart.wire.message.Envelope;

/**
 * Takes messages of other VMs that are not beats. Called on the event loop.
 *
 * @since 0.1
 */
public interface PeerMessages {

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

}
