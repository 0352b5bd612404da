package org.tallycart.steward;

import java.util.List;

import org.tallycart.core.claim.SlotMap;

/**
 * A change of the slot map, from its creation to the known result of its write.
 *
 * @param slots the slots that change their owner
 * @param vm the VM of the new owner
 * @param handedOver true for a handover with the claims, false for a takeover
 * @param next the slot map after the change
 * @param expectedVersion the version of the slot map that the change is based on
 * @since 0.1
 */
record SlotChange(List<Integer> slots, String vm, boolean handedOver, SlotMap next, long expectedVersion) {
}
