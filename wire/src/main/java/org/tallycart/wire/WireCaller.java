package org.tallycart.wire;

import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.tallycart.wire.message.Envelope;

/**
 * Calls one other process.
 * <p>
 * Implementations are thread-safe.
 *
 * @since 0.1
 */
public interface WireCaller {

	/**
	 * Make a call.
	 * @param message the call's body
	 * @param timeoutMs how long to wait, for the connection and the reply together
	 * @return the reply to come, or an error; never completed by an exception
	 */
	CompletableFuture<Either<WireError, Envelope>> call(Envelope.Builder message, long timeoutMs);

	/**
	 * Send a message to which no reply is wanted, if a connection can be had.
	 * @param message the message's body
	 */
	void send(Envelope.Builder message);

	/**
	 * End the connection for good.
	 */
	void close();

}
