package org.tallycart.core.claim;

import org.jspecify.annotations.Nullable;

/**
 * One claim in the owner's table; the unit that a handover moves.
 *
 * @param key the key
 * @param holder who was granted the key
 * @param result the result the holder reported, or null
 * @since 0.1
 */
public record ClaimRecord(IdempotencyKey key, ClaimHolder holder, byte @Nullable [] result) {
}
