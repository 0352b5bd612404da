package org.tallycart.entry.claim;

import org.jspecify.annotations.Nullable;
import org.tallycart.core.outcome.RequestResult;

/**
 * What became of the claim of an idempotency key.
 *
 * @param kind what became of it
 * @param storedAnswer the answer of the submission that ran, where kind is ANSWERED
 * @param refusal how to end, where kind is REFUSED
 * @since 0.1
 */
public record ClaimDecision(Kind kind, byte @Nullable [] storedAnswer, @Nullable RequestResult refusal) {

	/** Kinds of decision. */
	public enum Kind {

		/** The key is this request's: it may run, and nobody else may. */
		GRANTED,
		/** The key has run; its answer is known. */
		ANSWERED,
		/** The key may not run here. */
		REFUSED

	}

	static ClaimDecision granted() {
		return new ClaimDecision(Kind.GRANTED, null, null);
	}

	static ClaimDecision answered(byte[] answer) {
		return new ClaimDecision(Kind.ANSWERED, answer, null);
	}

	static ClaimDecision refused(RequestResult ending) {
		return new ClaimDecision(Kind.REFUSED, null, ending);
	}

}
