package org.tallycart.wire;

import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.tallycart.wire.message.Envelope;

/**
 * Sends calls and one-way messages to another process.
 * <p>
 * Implementations must be thread-safe.
 *
 * @since 0.1
 */
public interface WireCaller {

	/**
	 * Send a call and await its reply.
	 * @param message the body of the call
	 * @param timeoutMs the timeout for connecting and receiving the reply, in
	 * milliseconds
	 * @return a future of the reply or an error; never completes exceptionally
	 */
	CompletableFuture<Either<WireError, Envelope>> call(Envelope.Builder message, long timeoutMs);

	/**
	 * Send a one-way message. The message is dropped if no connection can be opened.
	 * @param message the body of the message
	 */
	void send(Envelope.Builder message);

	/**
	 * Close the connection permanently.
	 */
	void close();

}
