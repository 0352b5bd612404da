package org.tallycart.entry.claim;

import org.jspecify.annotations.Nullable;
import org.tallycart.core.outcome.RequestResult;

/**
 * Result of claiming an idempotency key.
 *
 * @param kind the kind of decision
 * @param storedResponse the response to the submission that ran, if kind is ANSWERED
 * @param refusal the result of the request, if kind is REFUSED
 * @since 0.1
 */
public record ClaimDecision(Kind kind, byte @Nullable [] storedResponse, @Nullable RequestResult refusal) {

	/** Kinds of decision. */
	public enum Kind {

		/** This request holds the key: it may run, and no other request may. */
		GRANTED,
		/** A request with this key has run, and its response is stored. */
		ANSWERED,
		/** The request may not run. */
		REFUSED

	}

	static ClaimDecision granted() {
		return new ClaimDecision(Kind.GRANTED, null, null);
	}

	static ClaimDecision answered(byte[] response) {
		return new ClaimDecision(Kind.ANSWERED, response, null);
	}

	static ClaimDecision refused(RequestResult result) {
		return new ClaimDecision(Kind.REFUSED, null, result);
	}

}
