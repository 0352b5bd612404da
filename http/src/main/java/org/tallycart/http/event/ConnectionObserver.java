package org.tallycart.http.event;

import org.tallycart.core.ini.Address;

/**
 * Observes the connections of a client. Called on the event loop: must not block.
 *
 * @since 0.1
 */
public interface ConnectionObserver {

	/** Observer that ignores everything. */
	ConnectionObserver NONE = new ConnectionObserver() {
	};

	/**
	 * Handle a new connection.
	 * @param address the address that it connects to
	 */
	default void onConnected(Address address) {
	}

	/**
	 * Handle a connection that could not be established.
	 * @param address the address
	 * @param refused whether it was refused, rather than timed out
	 */
	default void onConnectFailed(Address address, boolean refused) {
	}

	/** Handle a call that is sent on a connection. */
	default void onCallStarted() {
	}

	/** Handle the end of a call that was sent, whatever its outcome. */
	default void onCallEnded() {
	}

	/** Handle bytes that were received. */
	default void onReceived() {
	}

}
