package org.tallycart.http.event;

/**
 * Limits on what the calls of a client receive.
 *
 * @param message the limits on each message
 * @param held the account of incomplete messages, which clients may share
 * @since 0.1
 */
public record ReceiveLimits(MessageLimits message, HeldBytes held) {
}
