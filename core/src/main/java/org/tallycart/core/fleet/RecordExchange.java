package org.tallycart.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.tallycart.core.membership.RendezvousHash;

/**
 * Schedules the exchange of the VM records between VMs while the platform's store does
 * not supply them (push-pull anti-entropy).
 * <p>
 * VMs that start together read different lists of the records, and a VM that read a short
 * one is not known to be in need of a longer one, since nobody may contact it. So each VM
 * whose last read of the list failed, or that has not heard from the store for some time,
 * compares its list with one other VM in each interval, in an order of its own, and the
 * one with the earlier list receives the later one. The latest list contains all VMs that
 * have any, since a VM reads the list only after its own record has been written.
 * <p>
 * Invariants: a VM sends at most one request in an interval, and at most
 * {@link #MAX_LISTS_PER_INTERVAL} lists; it sends no requests while it reads the list, or
 * receives it from a VM to which the store replies. Not thread-safe: belongs to one event
 * loop.
 *
 * @since 0.1
 */
public final class RecordExchange {

	/** Interval between two requests of a VM, in milliseconds. */
	public static final long INTERVAL_MS = 200;

	/**
	 * Interval between two requests of a VM once its last replies have shown no
	 * difference, in milliseconds.
	 */
	static final long SETTLED_INTERVAL_MS = 2_000;

	/**
	 * Time without the store after which VMs exchange their records although no read of
	 * the list has failed at them, in milliseconds. Longer than the age of the store's
	 * contents at any VM during the failure of a relay.
	 */
	public static final long STORE_SILENCE_MS = 1_500;

	/** Number of lists that a VM sends in an interval, which bounds its bandwidth. */
	static final int MAX_LISTS_PER_INTERVAL = 2;

	/**
	 * Minimum time between two lists to the same VM, in milliseconds: the first may be in
	 * transit when the VMs compare again.
	 */
	static final long REPEAT_INTERVAL_MS = 600;

	/** Number of replies without a difference after which a VM counts as settled. */
	static final int SETTLED_REPLIES = 16;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final String vm;

	private final Map<String, Long> listSentMs = new HashMap<>();

	private Set<String> vms = Set.of();

	private List<String> order = List.of();

	private int next;

	private int equalReplies;

	private boolean listLost;

	private boolean active;

	private long lastRequestMs = NEVER;

	private long intervalStartMs = NEVER;

	private int listsInInterval;

	/**
	 * Create an exchange.
	 * @param vm the name of this VM
	 */
	public RecordExchange(String vm) {
		this.vm = vm;
	}

	/**
	 * Update the VMs with a record. Must be called each time that the records are loaded.
	 * @param names the names of all VMs with a record
	 */
	public void updateVms(Collection<String> names) {
		if (names.size() == this.vms.size() && this.vms.containsAll(names)) {
			return;
		}
		this.vms = Set.copyOf(names);
		List<String> others = this.vms.stream().filter((name) -> !name.equals(this.vm)).toList();
		this.order = RendezvousHash.top(this.vm, others, others.size());
		this.equalReplies = 0;
	}

	/**
	 * Set whether this VM reads the list of the records from the store, and the last read
	 * failed. Replies of the store to other reads say nothing about the list.
	 * @param lost true from the first failed read to the next successful one
	 */
	public void setListLost(boolean lost) {
		this.listLost = lost;
	}

	/**
	 * Return the VM to compare records with, if a request is due. Must be called in each
	 * interval.
	 * @param storeAgeMs the time since the store has replied, to this VM or to the one
	 * that relays its contents, in milliseconds
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the name of the VM; empty if no request is due
	 */
	public Optional<String> nextPeer(long storeAgeMs, long nowMs) {
		this.active = this.listLost || storeAgeMs > STORE_SILENCE_MS;
		if (!this.active) {
			this.equalReplies = 0;
			return Optional.empty();
		}
		long intervalMs = isSettled() ? SETTLED_INTERVAL_MS : INTERVAL_MS;
		if (this.order.isEmpty() || nowMs - this.lastRequestMs < intervalMs) {
			return Optional.empty();
		}
		this.lastRequestMs = nowMs;
		this.next = (this.next + 1) % this.order.size();
		return Optional.of(this.order.get(this.next));
	}

	private boolean isSettled() {
		return this.equalReplies >= Math.min(SETTLED_REPLIES, this.order.size());
	}

	/**
	 * Return whether this VM compares its records with those of other VMs.
	 * @return true if the list cannot be read, or the store has not replied for some time
	 */
	public boolean isActive() {
		return this.active;
	}

	/**
	 * Record a reply to a request that {@link #nextPeer} has asked for.
	 * @param equal whether the other VM has the same list as this one
	 */
	public void onReply(boolean equal) {
		this.equalReplies = equal ? this.equalReplies + 1 : 0;
	}

	/**
	 * Return whether the list may be sent to a VM that has an earlier one; if so, record
	 * it as sent.
	 * @param name the name of the VM
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return false if too many lists have been sent
	 */
	public boolean markListIfDue(String name, long nowMs) {
		this.listSentMs.values().removeIf((sentMs) -> nowMs - sentMs >= REPEAT_INTERVAL_MS);
		if (nowMs - this.intervalStartMs >= INTERVAL_MS) {
			this.intervalStartMs = nowMs;
			this.listsInInterval = 0;
		}
		if (this.listsInInterval >= MAX_LISTS_PER_INTERVAL || this.listSentMs.containsKey(name)) {
			return false;
		}
		this.listsInInterval++;
		this.listSentMs.put(name, nowMs);
		return true;
	}

}
