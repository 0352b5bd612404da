package org.tallycart.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import org.tallycart.core.claim.SlotMap;
import org.tallycart.core.claim.SlotOwner;

/**
 * Decides which slots a process takes over and which it hands over.
 * <p>
 * A slot is taken over only if its owner is certain to be gone: its VM is no longer in
 * the platform's list, or it is an earlier incarnation of this very VM, whose listening
 * port this process now holds. Not being heard is no reason. Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class SlotPlan {

	private SlotPlan() {
	}

	/**
	 * Return the slots this process should take over.
	 * @param map the slot map
	 * @param vm the VM of this process
	 * @param incarnation this process
	 * @param list the known VMs
	 * @param active the VMs that can own slots, this one included
	 * @return the slots
	 */
	public static List<Integer> takeovers(SlotMap map, String vm, long incarnation, VmList list,
			Collection<String> active) {
		List<Integer> slots = new ArrayList<>();
		for (int slot = 0; slot < map.slotCount(); slot++) {
			SlotOwner owner = map.owner(slot);
			boolean mineBefore = owner != null && owner.vm().equals(vm) && owner.incarnation() < incarnation;
			boolean ownerless = owner == null || list.version() > 0 && list.find(owner.vm()).isEmpty();
			if (mineBefore || ownerless && preferred(slot, active).equals(vm)) {
				slots.add(slot);
			}
		}
		return slots;
	}

	/**
	 * Return the slots this process should hand over, by the VM that should have them.
	 * @param map the slot map
	 * @param vm the VM of this process
	 * @param incarnation this process
	 * @param active the VMs that can own slots; without this one if it drains
	 * @return the slots by their new owner
	 */
	public static SortedMap<String, List<Integer>> handovers(SlotMap map, String vm, long incarnation,
			Collection<String> active) {
		SortedMap<String, List<Integer>> plan = new TreeMap<>();
		for (int slot : map.ownedBy(vm, incarnation)) {
			String wanted = preferred(slot, active);
			if (!wanted.isEmpty() && !wanted.equals(vm)) {
				plan.computeIfAbsent(wanted, (key) -> new ArrayList<>()).add(slot);
			}
		}
		return plan;
	}

	private static String preferred(int slot, Collection<String> active) {
		return RendezvousHash.first("slot " + slot, active).orElse("");
	}

}
