package org.tallycart.http.event;

import org.apache.hc.core5.http.HttpResponse;

/**
 * Hears of the reply to one call. Called on the event loop: must not block.
 * <p>
 * Invariant: it hears of at most one ending, {@link #onEnd()} or
 * {@link #onFailure(CallFailure)}, and of nothing after that or after a cancel.
 *
 * @since 0.1
 */
public interface ReplyListener {

	/**
	 * Take the head of a reply.
	 * @param head the head
	 * @return false if the reply belongs to another call and has to be skipped
	 */
	boolean onHead(HttpResponse head);

	/**
	 * Take a part of the body.
	 * @param part its bytes
	 */
	void onBody(byte[] part);

	/** Take note that the reply is whole. */
	void onEnd();

	/**
	 * Take note that no whole reply will come.
	 * @param failure what happened
	 */
	void onFailure(CallFailure failure);

}
