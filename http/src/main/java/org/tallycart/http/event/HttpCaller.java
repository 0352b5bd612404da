package org.tallycart.http.event;

/**
 * Makes HTTP calls.
 * <p>
 * Not thread-safe: confined to an event loop.
 *
 * @since 0.1
 */
public interface HttpCaller {

	/**
	 * Make a call. It is sent once at most.
	 * @param request the request
	 * @param listener the listener of the reply
	 * @return the call in progress
	 */
	Call call(ClientRequest request, ReplyListener listener);

	/**
	 * Return the limits on what calls receive. Listeners that keep what they receive have
	 * to apply those on events and full replies.
	 * @return the limits
	 */
	ReceiveLimits receiveLimits();

}
