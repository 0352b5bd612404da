package org.tallycart.entry.stage;

import java.io.IOException;

/**
 * Receives generated text in pieces.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface TextSink {

	/**
	 * Receive the next piece of text.
	 * @param piece the text
	 * @throws IOException if the caller has disconnected
	 */
	void onText(String piece) throws IOException;

}
