package org.tallycart.core.claim;

import org.jspecify.annotations.Nullable;

/**
 * A claim in the table of a slot owner; handovers transfer claims in this form.
 *
 * @param key the key
 * @param holder the attempt that was granted the key
 * @param result the result reported by the holder, or null if there is none
 * @since 0.1
 */
public record ClaimRecord(IdempotencyKey key, ClaimHolder holder, byte @Nullable [] result) {
}
