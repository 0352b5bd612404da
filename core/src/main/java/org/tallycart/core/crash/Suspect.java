package org.tallycart.core.crash;

import java.util.List;
import java.util.function.Predicate;

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
 * @param answeringMs time since the upstream began to answer it, in milliseconds;
 * {@link #NOT_ANSWERED} if it had not
 * @since 0.1
 */
public record Suspect(Fingerprint fingerprint, List<Fingerprint> parts, String requestId, long sentMs,
		long answeringMs) {

	/** Value of {@code answeringMs} if the upstream had not begun to answer. */
	public static final long NOT_ANSWERED = -1;

	/**
	 * Time since an upstream began to answer a request from which the request did not
	 * crash it, in milliseconds: it would have with the first tokens.
	 */
	private static final long MAX_ANSWERING_MS = 150;

	/**
	 * Create a suspect without parts of a prompt, whose answer had not begun.
	 * @param fingerprint fingerprint of the request
	 * @param requestId request id, unique to one attempt of the caller
	 * @param sentMs time at which it was sent to the upstream, on the monotonic clock, in
	 * milliseconds
	 */
	public Suspect(Fingerprint fingerprint, String requestId, long sentMs) {
		this(fingerprint, List.of(), requestId, sentMs, NOT_ANSWERED);
	}

	/**
	 * Return this suspect without some parts of its prompt.
	 * @param excluded returns whether a part is left out
	 * @return the suspect
	 */
	Suspect withoutParts(Predicate<Fingerprint> excluded) {
		return new Suspect(this.fingerprint, this.parts.stream().filter(excluded.negate()).toList(), this.requestId,
				this.sentMs, this.answeringMs);
	}

	/**
	 * Return this suspect with the time for which the upstream had been answering it.
	 * @param ms the time, in milliseconds; {@link #NOT_ANSWERED} if it had not begun
	 * @return the suspect
	 */
	public Suspect answeredFor(long ms) {
		return new Suspect(this.fingerprint, this.parts, this.requestId, this.sentMs, ms);
	}

	// Returns whether the request may have crashed the upstream. Once the upstream had
	// begun to answer requests, only those that had just begun may have.
	boolean isPossibleCause(boolean upstreamAnswering) {
		return upstreamAnswering ? isAnswered() && this.answeringMs < MAX_ANSWERING_MS : !isAnswered();
	}

	boolean isAnswered() {
		return this.answeringMs != NOT_ANSWERED;
	}

}
