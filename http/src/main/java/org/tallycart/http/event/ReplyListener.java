package org.tallycart.http.event;

import org.apache.hc.core5.http.HttpResponse;

/**
 * Listener of the reply to one call. Called on the event loop: must not block.
 * <p>
 * Invariant: at most one of {@link #onEnd(ReplyEnd)} and {@link #onFailure(CallFailure)}
 * is called, and no method after that or after the call is cancelled.
 *
 * @since 0.1
 */
public interface ReplyListener {

	/**
	 * Handle the head of a reply.
	 * @param head the reply head
	 * @return false if the reply belongs to another call and must be skipped
	 */
	boolean onHead(HttpResponse head);

	/**
	 * Handle a part of the body.
	 * @param part the bytes of the part
	 */
	void onBody(byte[] part);

	/**
	 * Handle the end of a complete reply.
	 * @param end how the end was detected
	 */
	void onEnd(ReplyEnd end);

	/**
	 * Handle the failure of the call.
	 * @param failure the failure
	 */
	void onFailure(CallFailure failure);

}
