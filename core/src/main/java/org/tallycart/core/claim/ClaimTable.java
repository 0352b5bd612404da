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
 * Table of the claims in the slots owned by one process.
 * <p>
 * Invariants: a key has at most one holder while its claim is retained; a claim is
 * retained until its key is older than the retention window, and from then on the key is
 * refused; a sealed slot grants no claims; after a takeover, every key that the previous
 * owner may have granted is refused. Not thread-safe: confined to the owner's control
 * thread.
 *
 * @since 0.1
 */
public final class ClaimTable {

	private final String vm;

	private final long incarnation;

	private final IdempotencyKeyWindow window;

	private final Map<Integer, OwnedSlot> slots = new HashMap<>();

	private final PriorityQueue<ExpiringClaim> expiry = new PriorityQueue<>(
			Comparator.comparingLong((ExpiringClaim claim) -> claim.key.createdMs()));

	private int slotCount;

	private ClaimTable(String vm, long incarnation, IdempotencyKeyWindow window) {
		this.vm = vm;
		this.incarnation = incarnation;
		this.window = window;
	}

	/**
	 * Create the table of a process that does not own a slot yet.
	 * @param vm the VM of the process
	 * @param incarnation the incarnation of the process
	 * @param window the time window in which keys can be claimed
	 * @return the table
	 */
	public static ClaimTable create(String vm, long incarnation, IdempotencyKeyWindow window) {
		return new ClaimTable(vm, incarnation, window);
	}

	/**
	 * Apply a newer slot map: remove slots that have another owner now, and add slots
	 * that are now owned by this process.
	 * @param map the slot map
	 * @param nowMs the current wall clock time, in milliseconds
	 */
	public void applySlotMap(SlotMap map, long nowMs) {
		this.slotCount = map.slotCount();
		Set<Integer> ownedSlots = new HashSet<>(map.ownedBy(this.vm, this.incarnation));
		this.slots.entrySet().removeIf((entry) -> !ownedSlots.contains(entry.getKey()) && entry.getValue().confirmed);
		for (int slot : ownedSlots) {
			SlotOwner owner = InvariantViolation.requirePresent(map.owner(slot),
					"an owned slot has no owner in the slot map");
			OwnedSlot owned = this.slots.get(slot);
			if (owned == null || !owned.confirmed && !owned.matches(owner)) {
				// The claims of the previous owner are lost: refuse every key that it may
				// have granted.
				boolean firstOwner = owner.term() == 1;
				owned = new OwnedSlot(firstOwner ? Long.MIN_VALUE : nowMs + 2 * this.window.skewMs());
				this.slots.put(slot, owned);
			}
			InvariantViolation.check(owner.term() >= owned.term, "the term of slot " + slot + " decreased");
			owned.term = owner.term();
			if (!owned.confirmed) {
				owned.confirmed = true;
				owned.sealed = false;
			}
		}
	}

	/**
	 * Process a claim.
	 * @param key the key
	 * @param claimant the attempt that claims the key
	 * @param knownTerm the highest term of the slot known to the claimant
	 * @param nowMs the current wall clock time, in milliseconds
	 * @return the reply
	 */
	public ClaimReply claim(IdempotencyKey key, ClaimHolder claimant, long knownTerm, long nowMs) {
		OwnedSlot owned = (this.slotCount > 0) ? this.slots.get(key.slot(this.slotCount)) : null;
		if (owned == null || owned.sealed || !owned.confirmed) {
			return ClaimReply.of(ClaimReply.Status.NOT_OWNER, 0);
		}
		if (knownTerm > owned.term) {
			// Another process already owns the slot: this one must not grant claims any
			// more.
			owned.sealed = true;
			return ClaimReply.of(ClaimReply.Status.NOT_OWNER, owned.term);
		}
		ClaimRecord held = owned.claims.get(key.text());
		if (held != null) {
			return replyToHeldKey(held, claimant, owned.term);
		}
		if (nowMs - key.createdMs() > this.window.retentionMs()) {
			return ClaimReply.of(ClaimReply.Status.EXPIRED, owned.term);
		}
		if (key.createdMs() <= owned.refuseUntilMs) {
			return ClaimReply.of(ClaimReply.Status.BEFORE_TAKEOVER, owned.term);
		}
		put(owned, new ClaimRecord(key, claimant, null));
		return ClaimReply.of(ClaimReply.Status.GRANTED, owned.term);
	}

	private ClaimReply replyToHeldKey(ClaimRecord held, ClaimHolder claimant, long term) {
		if (held.result() != null) {
			return new ClaimReply(ClaimReply.Status.FINISHED, term, held.holder(), held.result());
		}
		// A repeated claim by the same attempt means that the reply was lost.
		ClaimReply.Status status = held.holder().equals(claimant) ? ClaimReply.Status.GRANTED : ClaimReply.Status.HELD;
		return new ClaimReply(status, term, held.holder(), null);
	}

	private void put(OwnedSlot owned, ClaimRecord claim) {
		owned.claims.put(claim.key().text(), claim);
		this.expiry.add(new ExpiringClaim(owned, claim.key()));
	}

	/**
	 * Record the result of the attempt that holds a key.
	 * @param key the key
	 * @param holder the holder
	 * @param result the result, to be returned to later claimants
	 * @return true if the holder holds the key
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
	 * Release a key whose holder has not started and never will.
	 * @param key the key
	 * @param holder the holder, which must have abandoned the attempt
	 * @return true if the key was released
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
	 * Seal slots for a handover, so that this process no longer grants claims in them.
	 * @param requested the slots
	 * @return one handover for each requested slot that this process owns
	 */
	public List<SlotHandover> seal(Collection<Integer> requested) {
		List<SlotHandover> handovers = new ArrayList<>();
		for (int slot : requested) {
			OwnedSlot owned = this.slots.get(slot);
			if (owned != null && owned.confirmed) {
				owned.sealed = true;
				handovers.add(new SlotHandover(slot, owned.term + 1, owned.refuseUntilMs, 0,
						List.copyOf(owned.claims.values())));
			}
		}
		return handovers;
	}

	/**
	 * Undo a seal after the handover has definitely been rejected.
	 * @param requested the slots
	 */
	public void unseal(Collection<Integer> requested) {
		for (int slot : requested) {
			OwnedSlot owned = this.slots.get(slot);
			if (owned != null) {
				owned.sealed = false;
			}
		}
	}

	/**
	 * Stage a slot that is being handed over to this process. It grants no claims until
	 * {@link #applySlotMap} is called with a map that contains this handover.
	 * @param handover the slot and its claims
	 * @return true if the slot was staged; false if this process already owns it, or if a
	 * later attempt of the same handover was staged before
	 */
	public boolean stage(SlotHandover handover) {
		OwnedSlot existing = this.slots.get(handover.slot());
		boolean outdated = existing != null && existing.term == handover.term()
				&& existing.sequence > handover.sequence();
		if (outdated || (existing != null && existing.confirmed)) {
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
	 * Remove claims of keys that are older than the retention window on every clock of
	 * the fleet. Such keys are refused because of their age, even by a later owner whose
	 * clock is behind.
	 * @param nowMs the current wall clock time, in milliseconds
	 */
	public void expire(long nowMs) {
		while (!this.expiry.isEmpty()
				&& nowMs - oldestCreatedMs() > this.window.retentionMs() + 2 * this.window.skewMs()) {
			ExpiringClaim expired = this.expiry.remove();
			expired.slot.claims.remove(expired.key.text());
		}
	}

	private long oldestCreatedMs() {
		ExpiringClaim oldest = this.expiry.peek();
		return (oldest != null) ? oldest.key.createdMs() : Long.MAX_VALUE;
	}

	/**
	 * Return the number of retained claims.
	 * @return the number
	 */
	public int size() {
		return this.slots.values().stream().mapToInt((owned) -> owned.claims.size()).sum();
	}

	/**
	 * Return the number of slots in which this process grants claims.
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

	/** A claim in the expiry queue, ordered by key creation time. */
	private record ExpiringClaim(OwnedSlot slot, IdempotencyKey key) {
	}

}
