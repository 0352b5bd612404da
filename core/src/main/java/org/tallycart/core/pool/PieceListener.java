package org.tallycart.core.pool;

/**
 * Receives the outcome of a submitted piece. The same outcome may be delivered late or
 * more than once.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface PieceListener {

	/**
	 * Handle the outcome of a piece.
	 * @param id the piece
	 * @param outcome the outcome
	 */
	void onOutcome(PieceId id, PieceOutcome outcome);

	/**
	 * Handle the notice that the worker has read a piece's inputs, which may then be
	 * released. The piece itself is not completed yet.
	 * @param id the piece
	 */
	default void onInputsRead(PieceId id) {
	}

	/**
	 * Handle the notice that the dispatcher has stopped without processing the piece,
	 * which has to be submitted to another dispatcher.
	 * @param id the piece
	 */
	default void onHandedBack(PieceId id) {
	}

}
