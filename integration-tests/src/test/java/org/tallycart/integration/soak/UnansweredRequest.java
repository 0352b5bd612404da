package org.tallycart.integration.soak;

import org.tallycart.core.ini.Address;

/**
 * Request that ended without a complete response.
 *
 * @param id the request ID
 * @param path the path
 * @param vm the address of the VM, which only one run of its process has
 * @param sentMs when it was sent, on the monotonic clock
 * @param endedMs when its caller learned of the end, on the monotonic clock
 * @param begun whether a part of a stream was received
 * @param cause what the caller saw
 */
record UnansweredRequest(String id, String path, Address vm, long sentMs, long endedMs, boolean begun, String cause) {

	long elapsedMs() {
		return this.endedMs - this.sentMs;
	}

}
