package org.tallycart.node.crash;

import org.tallycart.core.crash.Suspect;

/**
 * A request that was cut off at an upstream.
 *
 * @param request the request
 * @param answeringMs how long the upstream had been answering it, in milliseconds;
 * negative if nothing of an answer had come
 * @since 0.1
 */
public record InterruptedRequest(Suspect request, long answeringMs) {

	/** Nothing of an answer had come. */
	public static final long NOT_ANSWERED = -1;

	/**
	 * An upstream that a request crashes ends when it begins to run it: a request that
	 * was answered for this long, in milliseconds, did not crash it. Crashes were seen up
	 * to 0.1 s after the begin; slow upstreams take some times as long. Longer, and
	 * requests that were only there would be suspects more often.
	 */
	static final long BEGIN_MS = 300;

	boolean mayHaveCrashedIt() {
		return this.answeringMs < BEGIN_MS;
	}

	@Override
	public String toString() {
		return this.request.requestId() + ":" + this.request.fingerprint().shortText() + ":" + this.answeringMs;
	}

}
