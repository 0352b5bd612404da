package org.tallycart.core.pool;

/**
 * Outcome of a piece.
 *
 * @param status the kind of outcome
 * @param handle identifies the result of a completed piece; otherwise empty
 * @param retryAfterMs time after which there will be capacity for the request, in
 * milliseconds, if no worker accepts calls or the pool is overloaded; 0 if it is not
 * known
 * @since 0.1
 */
public record PieceOutcome(Status status, String handle, long retryAfterMs) {

	/** Kind of outcome. The names are sent between VMs and logged. */
	public enum Status {

		/** The piece was completed. */
		MADE,
		/** The piece could not complete before its deadline and was not processed. */
		LATE,
		/** An input of the piece no longer exists. */
		INPUT_GONE,
		/** The worker had no result memory left for it. */
		NO_ROOM,
		/** The worker failed or cannot be reached. */
		FAILED,
		/**
		 * The pool has no worker, or all of them are draining or have asked for backoff.
		 */
		NO_WORKER

	}

	/**
	 * Create the outcome of a completed piece.
	 * @param handle identifies the result
	 * @return the outcome
	 */
	public static PieceOutcome completed(String handle) {
		return new PieceOutcome(Status.MADE, handle, 0);
	}

	/**
	 * Create the outcome of a piece that was not completed.
	 * @param status the reason
	 * @return the outcome
	 */
	public static PieceOutcome notCompleted(Status status) {
		return new PieceOutcome(status, "", 0);
	}

	/**
	 * Create the outcome of a piece that an overloaded pool rejects.
	 * @param retryAfterMs time after which there will be capacity for the request, in
	 * milliseconds; 0 if it is not known
	 * @return the outcome
	 */
	public static PieceOutcome late(long retryAfterMs) {
		return new PieceOutcome(Status.LATE, "", retryAfterMs);
	}

	/**
	 * Create the outcome of a piece that no worker accepts at present.
	 * @param retryAfterMs time after which the piece may be submitted again, in
	 * milliseconds
	 * @return the outcome
	 */
	public static PieceOutcome noWorker(long retryAfterMs) {
		return new PieceOutcome(Status.NO_WORKER, "", retryAfterMs);
	}

}
