package org.tallycart.core.claim;

import java.util.List;

/**
 * A sealed slot on its way to a new owner.
 *
 * @param slot the slot
 * @param term the term the new owner will have
 * @param refuseUntilMs keys created up to this time are refused
 * @param sequence rises with each handover that the earlier owner tries
 * @param claims the claims of the slot
 * @since 0.1
 */
public record SlotHandover(int slot, long term, long refuseUntilMs, long sequence, List<ClaimRecord> claims) {
}
