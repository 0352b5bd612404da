package org.tallycart.core.pool;

/**
 * What became of a piece.
 *
 * @param status the kind of outcome
 * @param handle names the result, where the piece was made; otherwise empty
 * @param retryAfterMs when the piece may be asked for again, in milliseconds, where no
 * worker takes calls; otherwise 0
 * @since 0.1
 */
public record PieceOutcome(Status status, String handle, long retryAfterMs) {

	/** Kinds of outcome. */
	public enum Status {

		/** The piece was made. */
		MADE,
		/** It could not be ready in time, so it was not made. */
		LATE,
		/** One of its inputs no longer exists. */
		INPUT_GONE,
		/** The maker had no room for its result. */
		NO_ROOM,
		/** The maker failed, or cannot be reached. */
		FAILED,
		/** All workers of the pool have said that they leave, or need rest. */
		NO_WORKER

	}

	/**
	 * A piece that was made.
	 * @param handle names the result
	 * @return the outcome
	 */
	public static PieceOutcome completed(String handle) {
		return new PieceOutcome(Status.MADE, handle, 0);
	}

	/**
	 * A piece that was not made.
	 * @param status why
	 * @return the outcome
	 */
	public static PieceOutcome notCompleted(Status status) {
		return new PieceOutcome(status, "", 0);
	}

	/**
	 * A piece that was not made, since no worker takes calls.
	 * @param retryAfterMs when one will, in milliseconds
	 * @return the outcome
	 */
	public static PieceOutcome noWorker(long retryAfterMs) {
		return new PieceOutcome(Status.NO_WORKER, "", retryAfterMs);
	}

}
