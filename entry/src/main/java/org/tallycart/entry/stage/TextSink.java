package org.tallycart.entry.stage;

import java.io.IOException;

/**
 * Takes generated text piece by piece.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface TextSink {

	/**
	 * Take a piece.
	 * @param piece the piece
	 * @throws IOException if the caller is gone
	 */
	void onText(String piece) throws IOException;

}
