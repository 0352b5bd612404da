package org.tallycart.core.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which other VMs reach this one. The leader of a role receives heartbeat requests
 * from all VMs that use the role, so it detects when it loses contact with many of them
 * at once.
 * <p>
 * Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class PeerReachability {

	/**
	 * Time since its last message in which a VM counts as reachable, in milliseconds;
	 * several heartbeat periods of a leader.
	 */
	static final long REACHABLE_WINDOW_MS = 1_200;

	/**
	 * Time since its last message after which a VM is presumed stopped, in milliseconds;
	 * longer than a usual network partition.
	 */
	static final long PEER_RETENTION_MS = 60_000;

	/** Factor on the share of a VM for each VM that may grant before it. */
	private static final double BACKUP_SHARE_FACTOR = 1.0 / 3;

	private final Map<String, Long> lastMessageMs = new HashMap<>();

	private final long startedMs;

	private long lastFailureMs;

	/**
	 * Create a tracker that has received no messages.
	 * @param nowMs the monotonic time of this VM's start, in milliseconds
	 */
	public PeerReachability(long nowMs) {
		this.startedMs = nowMs;
		this.lastFailureMs = nowMs;
	}

	/**
	 * Record a message from another VM. Must be called for each message.
	 * @param vm the sender
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onMessage(String vm, long nowMs) {
		this.lastMessageMs.put(vm, nowMs);
	}

	/**
	 * Record that another VM is draining.
	 * @param vm the VM
	 */
	public void onDraining(String vm) {
		this.lastMessageMs.remove(vm);
	}

	/**
	 * Record the failure of another VM. Earlier messages no longer count as evidence that
	 * their senders are reachable.
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onPeerLost(long nowMs) {
		this.lastFailureMs = nowMs;
	}

	/**
	 * Return the share of a common rate that this VM may grant as the leader. During a
	 * network partition there may be several leaders. Each grants a third of the share of
	 * the one that ranks before it, and a third of that if it does not reach a majority
	 * of the VMs that may be live. The shares add up to less than 1.5 while all VMs have
	 * the same records.
	 * @param unresponsiveAhead the VMs that rank before this one and may lead other VMs
	 * @param recordedVms all VMs with a record; a VM that has just started counts them as
	 * possibly live
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the share of the rate, at most 1
	 */
	public double shareOfRate(Set<String> unresponsiveAhead, Set<String> recordedVms, long nowMs) {
		this.lastMessageMs.values().removeIf((at) -> nowMs - at > PEER_RETENTION_MS);
		long reachableFromMs = Math.max(nowMs - REACHABLE_WINDOW_MS, this.lastFailureMs);
		long reachable = this.lastMessageMs.values().stream().filter((at) -> at >= reachableFromMs).count() + 1;
		boolean reachesMajority = 2 * reachable > countPossiblyLive(unresponsiveAhead, recordedVms, nowMs);
		return Math.pow(BACKUP_SHARE_FACTOR, unresponsiveAhead.size() + (reachesMajority ? 0 : 1));
	}

	// Includes this VM.
	private int countPossiblyLive(Set<String> unresponsiveAhead, Set<String> recordedVms, long nowMs) {
		Set<String> others = new HashSet<>(this.lastMessageMs.keySet());
		others.addAll(unresponsiveAhead);
		if (nowMs - this.startedMs < PEER_RETENTION_MS) {
			others.addAll(recordedVms);
			return Math.max(others.size(), 1);
		}
		return others.size() + 1;
	}

}
