package org.tallycart.http.event;

/**
 * Makes HTTP calls.
 * <p>
 * Not thread-safe: confined to an event loop.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface HttpCaller {

	/**
	 * Make a call. It is sent once at most.
	 * @param request the request
	 * @param listener the listener of the reply
	 * @return the call in progress
	 */
	Call call(ClientRequest request, ReplyListener listener);

}
