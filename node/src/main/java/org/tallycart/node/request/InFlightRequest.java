package org.tallycart.node.request;

/**
 * A request that this VM has read and not ended.
 * <p>
 * Not thread-safe: confined to the event loop.
 */
interface InFlightRequest {

	/** Refuse the request if it has not been sent to any upstream, since the VM stops. */
	void refuseIfNotSent();

	/** End the request, whatever its progress, since the VM stops. */
	void stop();

}
