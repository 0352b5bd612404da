package org.tallycart.core.pool;

/**
 * Names a piece of work.
 *
 * @param requestId the request it is made for
 * @param stage the number of its stage
 * @param piece its number in the stage
 * @since 0.1
 */
public record PieceId(String requestId, int stage, int piece) {
}
