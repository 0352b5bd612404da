package org.tallycart.node.peer;

import java.util.Set;
import java.util.function.Consumer;

import org.tallycart.wire.message.Envelope;

/**
 * The way on which VMs learn what the platform's store says, used for what has to reach
 * all of them without it. Called on the event loop.
 *
 * @since 0.1
 */
public interface DistributionTree {

	/**
	 * Return the VM that this one is told by.
	 * @return its name; empty before there is one
	 */
	String source();

	/**
	 * Return whether this VM reads the store itself, and so is told by no other.
	 * @return true if it does
	 */
	boolean readsStore();

	/**
	 * Return the VM that should read the store, as this VM sees it.
	 * @return its name; this VM's own if it knows no other
	 */
	String storeReader();

	/**
	 * Return the VMs that pass on news in each failure domain, or would next.
	 * @return their names, without this VM's
	 */
	Set<String> relays();

	/**
	 * Hear of VMs that begin to be told by this one.
	 * @param listener takes their names, before they are told anything
	 */
	void onSubscriber(Consumer<String> listener);

	/**
	 * Send a message to the VMs that are told by this one.
	 * @param message the message
	 */
	void sendToSubscribers(Envelope message);

}
