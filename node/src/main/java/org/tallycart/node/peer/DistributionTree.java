package org.tallycart.node.peer;

import java.util.Set;
import java.util.function.Consumer;

import org.tallycart.wire.message.Envelope;

/**
 * The tree by which VMs distribute the contents of the platform's store, also used for
 * messages that have to reach all VMs while the store is unavailable. The VM at the root
 * reads the store; every other VM subscribes to its source. Called on the event loop.
 *
 * @since 0.1
 */
public interface DistributionTree {

	/**
	 * Return the VM to which this VM subscribes.
	 * @return the name of the VM; empty while there is none
	 */
	String source();

	/**
	 * Return whether this VM reads the store itself, and so has no source.
	 * @return true if this VM reads the store
	 */
	boolean readsStore();

	/**
	 * Return the VM that should read the store, in the view of this VM.
	 * @return the name of the VM; this VM's own name if no other is known
	 */
	String storeReader();

	/**
	 * Return the VMs that are ranked first for reading the store and for relaying its
	 * contents in each failure domain.
	 * @return the names of the VMs, without this VM
	 */
	Set<String> relays();

	/**
	 * Add a listener for new subscribers of this VM.
	 * @param listener receives the name of each, before anything is sent to it
	 */
	void onSubscriber(Consumer<String> listener);

	/**
	 * Send a message to the subscribers of this VM.
	 * @param message the message
	 */
	void sendToSubscribers(Envelope message);

}
