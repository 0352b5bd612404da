package org.tallycart.core.claim;

import org.jspecify.annotations.Nullable;

/**
 * Reply of a slot owner to a claim.
 *
 * @param status result of the claim
 * @param term term of the owner for the slot
 * @param holder holder of the key, if the status is HELD or FINISHED
 * @param result result reported by the holder, if the status is FINISHED
 * @since 0.1
 */
public record ClaimReply(Status status, long term, @Nullable ClaimHolder holder, byte @Nullable [] result) {

	/** Result of a claim. */
	public enum Status {

		/** The key is granted to the claimant permanently. */
		GRANTED,
		/** Another attempt holds the key and has not reported a result. */
		HELD,
		/** Another attempt holds the key and has reported its result. */
		FINISHED,
		/**
		 * The key was created before the owner took over the slot; it may have been
		 * executed.
		 */
		BEFORE_TAKEOVER,
		/** The key is older than the retention window. */
		EXPIRED,
		/** The process does not own the slot, or has sealed it. */
		NOT_OWNER

	}

	static ClaimReply of(Status status, long term) {
		return new ClaimReply(status, term, null, null);
	}

}
