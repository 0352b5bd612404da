package org.tallycart.core.crash;

import java.util.List;

/**
 * A request that may have crashed an upstream: it was in flight there and had only just
 * started, or may have started.
 *
 * @param fingerprint fingerprint of the request
 * @param parts fingerprints of the parts of its prompt, most widely shared first; empty
 * if the upstream did not read the prompt
 * @param requestId request id, unique to one attempt of the caller
 * @param sentMs time at which it was sent to the upstream, on the monotonic clock, in
 * milliseconds
 * @since 0.1
 */
public record Suspect(Fingerprint fingerprint, List<Fingerprint> parts, String requestId, long sentMs) {

	/**
	 * Create a suspect without parts of a prompt.
	 * @param fingerprint fingerprint of the request
	 * @param requestId request id, unique to one attempt of the caller
	 * @param sentMs time at which it was sent to the upstream, on the monotonic clock, in
	 * milliseconds
	 */
	public Suspect(Fingerprint fingerprint, String requestId, long sentMs) {
		this(fingerprint, List.of(), requestId, sentMs);
	}

}
