package org.tallycart.node.crash;

import org.tallycart.core.crash.ContentFingerprints;
import org.tallycart.core.crash.Suspect;

/**
 * A request whose connection to an upstream closed before the reply was complete.
 *
 * @param request the request
 * @param answeringMs time since the reply began, in milliseconds; negative if no part of
 * a reply had arrived
 * @since 0.1
 */
public record InterruptedRequest(Suspect request, long answeringMs) {

	/** Value of {@code answeringMs} if no part of a reply had arrived. */
	public static final long NOT_ANSWERED = Suspect.NOT_ANSWERED;

	/**
	 * Time since the reply began from which a request is no suspect, in milliseconds: a
	 * request that crashes an upstream does so when it starts to run. Slow upstreams take
	 * some times as long to start it as others; a longer time would make suspects of more
	 * requests that were only in flight.
	 */
	static final long SUSPECT_MS = 300;

	Suspect asSuspect() {
		return this.request.answeredFor(this.answeringMs);
	}

	boolean mayHaveCrashedUpstream() {
		return this.answeringMs < SUSPECT_MS;
	}

	@Override
	public String toString() {
		return this.request.requestId() + ":" + this.request.fingerprint().shortText() + ":" + this.answeringMs + ":"
				+ ContentFingerprints.shortText(this.request.parts());
	}

}
