package org.tallycart.steward;

import java.util.List;

import org.tallycart.core.claim.SlotMap;

/**
 * A change of the slot map that is being written.
 *
 * @param slots the slots it concerns
 * @param vm their new owner's VM
 * @param handedOver whether the claims go along
 * @param next the map with the change
 * @param expectedVersion the version of the map it was made from
 * @since 0.1
 */
record SlotChange(List<Integer> slots, String vm, boolean handedOver, SlotMap next, long expectedVersion) {
}
