package org.tallycart.core.claim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

import org.tallycart.core.outcome.InvariantViolation;

/**
 * Claims of the slots that one process owns.
 * <p>
 * Invariants: a key has at most one holder while its claim is kept; a claim is kept until
 * the key is older than the retention window, from which time the key is refused; a
 * sealed slot grants nothing; after a takeover, a key that the earlier owner can have
 * granted is refused. Not thread-safe: confined to the owner's control thread.
 *
 * @since 0.1
 */
public final class ClaimTable {

	private final String vm;

	private final long incarnation;

	private final IdempotencyKeyWindow window;

	private final Map<Integer, OwnedSlot> slots = new HashMap<>();

	private final PriorityQueue<KeptClaim> expiry = new PriorityQueue<>(
			Comparator.comparingLong((KeptClaim kept) -> kept.key.createdMs()));

	private int slotCount;

	private ClaimTable(String vm, long incarnation, IdempotencyKeyWindow window) {
		this.vm = vm;
		this.incarnation = incarnation;
		this.window = window;
	}

	/**
	 * Create the table of a process that owns nothing yet.
	 * @param vm the process's VM
	 * @param incarnation the process's incarnation
	 * @param window the window in which keys can be claimed
	 * @return the table
	 */
	public static ClaimTable create(String vm, long incarnation, IdempotencyKeyWindow window) {
		return new ClaimTable(vm, incarnation, window);
	}

	/**
	 * Adopt a newer slot map: drop slots that went to another owner, add slots that are
	 * now this process's.
	 * @param map the map
	 * @param nowMs the wall clock now
	 */
	public void applySlotMap(SlotMap map, long nowMs) {
		this.slotCount = map.slotCount();
		Set<Integer> mine = new HashSet<>(map.ownedBy(this.vm, this.incarnation));
		this.slots.entrySet().removeIf((entry) -> !mine.contains(entry.getKey()) && entry.getValue().confirmed);
		for (int slot : mine) {
			SlotOwner owner = InvariantViolation.requirePresent(map.owner(slot), "an owned slot has no owner");
			OwnedSlot owned = this.slots.get(slot);
			if (owned == null || !owned.confirmed && !owned.matches(owner)) {
				// Claims of the earlier owner are lost: refuse whatever it can have
				// granted.
				boolean first = owner.term() == 1;
				owned = new OwnedSlot(first ? Long.MIN_VALUE : nowMs + 2 * this.window.skewMs());
				this.slots.put(slot, owned);
			}
			InvariantViolation.check(owner.term() >= owned.term, "the term of slot " + slot + " fell");
			owned.term = owner.term();
			if (!owned.confirmed) {
				owned.confirmed = true;
				owned.sealed = false;
			}
		}
	}

	/**
	 * Answer a claim.
	 * @param key the key
	 * @param asker who asks
	 * @param knownTerm the highest term of the slot that the asker has seen
	 * @param nowMs the wall clock now
	 * @return the answer
	 */
	public ClaimReply claim(IdempotencyKey key, ClaimHolder asker, long knownTerm, long nowMs) {
		OwnedSlot owned = (this.slotCount > 0) ? this.slots.get(key.slot(this.slotCount)) : null;
		if (owned == null || owned.sealed || !owned.confirmed) {
			return ClaimReply.of(ClaimReply.Status.NOT_OWNER, 0);
		}
		if (knownTerm > owned.term) {
			// Another process owns the slot already: this one must not grant again.
			owned.sealed = true;
			return ClaimReply.of(ClaimReply.Status.NOT_OWNER, owned.term);
		}
		ClaimRecord held = owned.claims.get(key.text());
		if (held != null) {
			return answerHeld(held, asker, owned.term);
		}
		if (nowMs - key.createdMs() > this.window.retentionMs()) {
			return ClaimReply.of(ClaimReply.Status.EXPIRED, owned.term);
		}
		if (key.createdMs() <= owned.refuseUntilMs) {
			return ClaimReply.of(ClaimReply.Status.BEFORE_TAKEOVER, owned.term);
		}
		put(owned, new ClaimRecord(key, asker, null));
		return ClaimReply.of(ClaimReply.Status.GRANTED, owned.term);
	}

	private ClaimReply answerHeld(ClaimRecord held, ClaimHolder asker, long term) {
		if (held.result() != null) {
			return new ClaimReply(ClaimReply.Status.FINISHED, term, held.holder(), held.result());
		}
		// The same attempt asking again has had its answer lost on the way.
		ClaimReply.Status status = held.holder().equals(asker) ? ClaimReply.Status.GRANTED : ClaimReply.Status.HELD;
		return new ClaimReply(status, term, held.holder(), null);
	}

	private void put(OwnedSlot owned, ClaimRecord claim) {
		owned.claims.put(claim.key().text(), claim);
		this.expiry.add(new KeptClaim(owned, claim.key()));
	}

	/**
	 * Record the result of the attempt that holds a key.
	 * @param key the key
	 * @param holder the holder
	 * @param result the result, to be told to later askers
	 * @return whether the holder does hold the key
	 */
	public boolean finish(IdempotencyKey key, ClaimHolder holder, byte[] result) {
		OwnedSlot owned = (this.slotCount > 0) ? this.slots.get(key.slot(this.slotCount)) : null;
		ClaimRecord held = (owned != null) ? owned.claims.get(key.text()) : null;
		if (owned == null || held == null || !held.holder().equals(holder)) {
			return false;
		}
		owned.claims.put(key.text(), new ClaimRecord(key, holder, result));
		return true;
	}

	/**
	 * Release a key whose holder has not begun, and never will.
	 * @param key the key
	 * @param holder the holder, which must itself have given up the attempt
	 * @return whether the key was released
	 */
	public boolean release(IdempotencyKey key, ClaimHolder holder) {
		OwnedSlot owned = (this.slotCount > 0) ? this.slots.get(key.slot(this.slotCount)) : null;
		ClaimRecord held = (owned != null) ? owned.claims.get(key.text()) : null;
		if (owned == null || owned.sealed || held == null || held.result() != null || !held.holder().equals(holder)) {
			return false;
		}
		owned.claims.remove(key.text());
		return true;
	}

	/**
	 * Seal slots for a handover: from now on they grant nothing here.
	 * @param wanted the slots
	 * @return one handover for each wanted slot that is owned here
	 */
	public List<SlotHandover> seal(Collection<Integer> wanted) {
		List<SlotHandover> moved = new ArrayList<>();
		for (int slot : wanted) {
			OwnedSlot owned = this.slots.get(slot);
			if (owned != null && owned.confirmed) {
				owned.sealed = true;
				moved.add(new SlotHandover(slot, owned.term + 1, owned.refuseUntilMs, 0,
						List.copyOf(owned.claims.values())));
			}
		}
		return moved;
	}

	/**
	 * Undo a seal after the handover was refused for certain.
	 * @param wanted the slots
	 */
	public void unseal(Collection<Integer> wanted) {
		for (int slot : wanted) {
			OwnedSlot owned = this.slots.get(slot);
			if (owned != null) {
				owned.sealed = false;
			}
		}
	}

	/**
	 * Stage a slot that is being handed to this process. It grants nothing until
	 * {@link #applySlotMap} sees a map in which this very handover took effect.
	 * @param handover the slot and its claims
	 * @return whether the slot was staged; false if this process owns it already, or if a
	 * later try of the same handover was staged before
	 */
	public boolean stage(SlotHandover handover) {
		OwnedSlot present = this.slots.get(handover.slot());
		boolean late = present != null && present.term == handover.term() && present.sequence > handover.sequence();
		if (late || (present != null && present.confirmed)) {
			return false;
		}
		OwnedSlot owned = new OwnedSlot(handover.refuseUntilMs());
		owned.term = handover.term();
		owned.sequence = handover.sequence();
		owned.sealed = true;
		owned.confirmed = false;
		this.slots.put(handover.slot(), owned);
		handover.claims().forEach((claim) -> put(owned, claim));
		return true;
	}

	/**
	 * Forget claims of keys that are past the retention window by every clock of the
	 * fleet. Such keys are refused by their age, also by a later owner whose clock is
	 * behind.
	 * @param nowMs the wall clock now
	 */
	public void expire(long nowMs) {
		while (!this.expiry.isEmpty()
				&& nowMs - oldestCreatedMs() > this.window.retentionMs() + 2 * this.window.skewMs()) {
			KeptClaim old = this.expiry.remove();
			old.slot.claims.remove(old.key.text());
		}
	}

	private long oldestCreatedMs() {
		KeptClaim oldest = this.expiry.peek();
		return (oldest != null) ? oldest.key.createdMs() : Long.MAX_VALUE;
	}

	/**
	 * Return the number of claims kept.
	 * @return the number
	 */
	public int size() {
		return this.slots.values().stream().mapToInt((owned) -> owned.claims.size()).sum();
	}

	/**
	 * Return the number of slots that grant claims here.
	 * @return the number
	 */
	public int openSlotCount() {
		return (int) this.slots.values().stream().filter((owned) -> owned.confirmed && !owned.sealed).count();
	}

	private static final class OwnedSlot {

		private final Map<String, ClaimRecord> claims = new HashMap<>();

		private final long refuseUntilMs;

		private long term;

		private long sequence;

		private boolean sealed;

		private boolean confirmed = true;

		private OwnedSlot(long refuseUntilMs) {
			this.refuseUntilMs = refuseUntilMs;
		}

		private boolean matches(SlotOwner owner) {
			return owner.handedOver() && owner.term() == this.term;
		}

	}

	/** A claim waiting to grow old. */
	private record KeptClaim(OwnedSlot slot, IdempotencyKey key) {
	}

}
