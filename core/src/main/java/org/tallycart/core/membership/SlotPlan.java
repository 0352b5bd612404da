package org.tallycart.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import org.tallycart.core.claim.SlotMap;
import org.tallycart.core.claim.SlotOwner;

/**
 * Plans which slots a process takes over and which it hands over.
 * <p>
 * A slot is taken over only if its owner has definitely terminated: its VM is no longer
 * in the platform's list, or it is an earlier incarnation on this VM, whose listen port
 * this process now holds. An unresponsive owner is not sufficient. Thread-safe: holds no
 * state.
 *
 * @since 0.1
 */
public final class SlotPlan {

	private SlotPlan() {
	}

	/**
	 * Return the slots that this process should take over.
	 * @param map the slot map
	 * @param vm the VM of this process
	 * @param incarnation the incarnation of this process
	 * @param list the list of VMs
	 * @param active the VMs that can own slots, including this one
	 * @return the slots
	 */
	public static List<Integer> takeovers(SlotMap map, String vm, long incarnation, VmList list,
			Collection<String> active) {
		List<Integer> slots = new ArrayList<>();
		for (int slot = 0; slot < map.slotCount(); slot++) {
			SlotOwner owner = map.owner(slot);
			boolean ownedBefore = owner != null && owner.vm().equals(vm) && owner.incarnation() < incarnation;
			boolean ownerless = owner == null || list.version() > 0 && list.find(owner.vm()).isEmpty();
			if (ownedBefore || ownerless && preferred(slot, active).equals(vm)) {
				slots.add(slot);
			}
		}
		return slots;
	}

	/**
	 * Return the slots that this process should hand over, by target VM.
	 * @param map the slot map
	 * @param vm the VM of this process
	 * @param incarnation the incarnation of this process
	 * @param active the VMs that can own slots; excludes this one if it is draining
	 * @return the slots by VM of the new owner
	 */
	public static SortedMap<String, List<Integer>> handovers(SlotMap map, String vm, long incarnation,
			Collection<String> active) {
		SortedMap<String, List<Integer>> plan = new TreeMap<>();
		for (int slot : map.ownedBy(vm, incarnation)) {
			String target = preferred(slot, active);
			if (!target.isEmpty() && !target.equals(vm)) {
				plan.computeIfAbsent(target, (key) -> new ArrayList<>()).add(slot);
			}
		}
		return plan;
	}

	private static String preferred(int slot, Collection<String> active) {
		return RendezvousHash.first("slot " + slot, active).orElse("");
	}

}
