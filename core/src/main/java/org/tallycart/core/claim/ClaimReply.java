package org.tallycart.core.claim;

import org.jspecify.annotations.Nullable;

/**
 * What a slot's owner answers to a claim.
 *
 * @param status the answer
 * @param term the owner's term for the slot
 * @param holder who holds the key, where status is HELD or FINISHED
 * @param result the holder's reported result, where status is FINISHED
 * @since 0.1
 */
public record ClaimReply(Status status, long term, @Nullable ClaimHolder holder, byte @Nullable [] result) {

	/** Kinds of answer. */
	public enum Status {

		/** The key is the asker's, for good. */
		GRANTED,
		/** Another attempt holds the key and has not reported a result. */
		HELD,
		/** Another attempt holds the key and has reported its result. */
		FINISHED,
		/** The key is older than the owner's takeover; whether it ran is not known. */
		BEFORE_TAKEOVER,
		/** The key is older than the retention window. */
		EXPIRED,
		/** The asked process does not own the slot, or has sealed it. */
		NOT_OWNER

	}

	static ClaimReply of(Status status, long term) {
		return new ClaimReply(status, term, null, null);
	}

}
