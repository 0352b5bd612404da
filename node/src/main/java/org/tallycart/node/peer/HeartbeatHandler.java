package org.tallycart.node.peer;

import org.tallycart.wire.message.FeedUpdate;
import org.tallycart.wire.message.NodeBeat;

/**
 * Adds to the questions and answers by which VMs keep in touch, and hears of them. Called
 * on the event loop.
 *
 * @since 0.1
 */
public interface HeartbeatHandler {

	/**
	 * Add to a question before it is sent.
	 * @param vm the VM that is asked
	 * @param question the question
	 */
	void prepareRequest(String vm, NodeBeat.Builder question);

	/**
	 * Take a question, and add to the answer.
	 * @param vm the VM that asks
	 * @param question its question
	 * @param answer the answer
	 */
	void onRequest(String vm, NodeBeat question, NodeBeat.Builder answer);

	/**
	 * Take an answer.
	 * @param vm the VM that answers
	 * @param answer its answer
	 */
	void onReply(String vm, NodeBeat answer);

	/**
	 * Take objects of the store that another VM passes on.
	 * @param update the objects
	 */
	void onFeedUpdate(FeedUpdate update);

}
