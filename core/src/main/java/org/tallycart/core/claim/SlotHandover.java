package org.tallycart.core.claim;

import java.util.List;

/**
 * A sealed slot that is being transferred to a new owner.
 *
 * @param slot the slot
 * @param term term of the new owner
 * @param refuseUntilMs creation time up to which keys are refused, in milliseconds since
 * the epoch
 * @param sequence number of the handover attempt of the previous owner; increases with
 * each attempt
 * @param claims the claims of the slot
 * @since 0.1
 */
public record SlotHandover(int slot, long term, long refuseUntilMs, long sequence, List<ClaimRecord> claims) {
}
