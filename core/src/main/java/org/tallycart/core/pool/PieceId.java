package org.tallycart.core.pool;

/**
 * Identifies a piece, which is one work item of a request's stage.
 *
 * @param requestId the id of the request that the piece belongs to
 * @param stage the index of the stage
 * @param piece the index of the piece within its stage
 * @since 0.1
 */
public record PieceId(String requestId, int stage, int piece) {
}
