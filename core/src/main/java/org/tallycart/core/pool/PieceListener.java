package org.tallycart.core.pool;

/**
 * Hears what became of a piece it asked for. It may hear late, or twice.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface PieceListener {

	/**
	 * Take an outcome.
	 * @param id the piece
	 * @param outcome what became of it
	 */
	void onOutcome(PieceId id, PieceOutcome outcome);

	/**
	 * Take note that the maker has read a piece's inputs, so that they need not be kept
	 * for it. The piece still has to be made.
	 * @param id the piece
	 */
	default void onInputsRead(PieceId id) {
	}

	/**
	 * Take note that the dispatcher has stopped and will not have the piece made. It has
	 * to be asked for at another one.
	 * @param id the piece
	 */
	default void onHandedBack(PieceId id) {
	}

}
