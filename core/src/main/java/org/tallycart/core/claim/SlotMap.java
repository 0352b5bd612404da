package org.tallycart.core.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;

/**
 * Assignment of slots to owning processes. Stored as one object of the platform's service
 * and changed only by conditional update.
 * <p>
 * Invariant: the term of a slot never decreases in successive versions. Immutable and
 * thread-safe.
 *
 * @since 0.1
 */
public final class SlotMap {

	private final int slotCount;

	private final SortedMap<Integer, SlotOwner> owners;

	private SlotMap(int slotCount, SortedMap<Integer, SlotOwner> owners) {
		this.slotCount = slotCount;
		this.owners = owners;
	}

	/**
	 * Create a map in which no slot has an owner.
	 * @param slotCount the number of slots, fixed for the lifetime of a fleet
	 * @return the map
	 */
	public static SlotMap empty(int slotCount) {
		return new SlotMap(slotCount, new TreeMap<>());
	}

	/**
	 * Return a copy in which the given slots have a new owner with a higher term.
	 * @param slots the slots
	 * @param vm the VM of the new owner
	 * @param incarnation the incarnation of the new owner
	 * @param handedOver whether the claims were transferred
	 * @return the changed copy
	 */
	public SlotMap assign(Iterable<Integer> slots, String vm, long incarnation, boolean handedOver) {
		SortedMap<Integer, SlotOwner> next = new TreeMap<>(this.owners);
		for (int slot : slots) {
			SlotOwner old = next.get(slot);
			long term = (old != null) ? old.term() + 1 : 1;
			next.put(slot, new SlotOwner(vm, incarnation, term, handedOver));
		}
		return new SlotMap(this.slotCount, next);
	}

	/**
	 * Return the owner of a slot.
	 * @param slot the slot
	 * @return the owner, or null if it has none
	 */
	public @Nullable SlotOwner owner(int slot) {
		return this.owners.get(slot);
	}

	/**
	 * Return the number of slots.
	 * @return the number
	 */
	public int slotCount() {
		return this.slotCount;
	}

	/**
	 * Return the slots that a process owns.
	 * @param vm the VM of the process
	 * @param incarnation the incarnation of the process
	 * @return the slots, in ascending order
	 */
	public List<Integer> ownedBy(String vm, long incarnation) {
		List<Integer> slots = new ArrayList<>();
		for (Map.Entry<Integer, SlotOwner> entry : this.owners.entrySet()) {
			if (entry.getValue().matches(vm, incarnation)) {
				slots.add(entry.getKey());
			}
		}
		return slots;
	}

	/**
	 * Encode the map as text: a header line, then one line for each range of slots with
	 * the same owner.
	 * @return the text
	 */
	public String encode() {
		StringBuilder text = new StringBuilder("slots ").append(this.slotCount).append('\n');
		int slot = 0;
		while (slot < this.slotCount) {
			SlotOwner owner = this.owners.get(slot);
			int end = slot + 1;
			while (end < this.slotCount && Objects.equals(owner, this.owners.get(end))) {
				end++;
			}
			if (owner != null) {
				text.append(slot).append(' ').append(end - 1).append(' ').append(owner.vm()).append(' ');
				text.append(owner.incarnation()).append(' ').append(owner.term()).append(' ');
				text.append(owner.handedOver()).append('\n');
			}
			slot = end;
		}
		return text.toString();
	}

	/**
	 * Decode a map written by {@link #encode()}.
	 * @param text the text
	 * @return the map, or an error message
	 */
	public static Either<String, SlotMap> decode(String text) {
		String[] lines = text.split("\n");
		try {
			SortedMap<Integer, SlotOwner> owners = new TreeMap<>();
			int slotCount = Integer.parseInt(lines[0].substring("slots ".length()));
			for (int i = 1; i < lines.length; i++) {
				String[] parts = lines[i].split(" ");
				SlotOwner owner = new SlotOwner(parts[2], Long.parseLong(parts[3]), Long.parseLong(parts[4]),
						Boolean.parseBoolean(parts[5]));
				for (int slot = Integer.parseInt(parts[0]); slot <= Integer.parseInt(parts[1]); slot++) {
					owners.put(slot, owner);
				}
			}
			return Either.right(new SlotMap(slotCount, owners));
		}
		catch (NumberFormatException | IndexOutOfBoundsException ex) {
			return Either.left("cannot parse the slot map: " + ex.getMessage());
		}
	}

}
