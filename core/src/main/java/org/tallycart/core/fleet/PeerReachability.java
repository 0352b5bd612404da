package org.tallycart.core.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The other VMs that this one hears. A VM that holds a duty is asked by all VMs that it
 * matters to, so it can tell whether it has lost many of them at once.
 * <p>
 * Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class PeerReachability {

	/**
	 * A VM that was heard within this time is near, in milliseconds: whoever holds a duty
	 * is asked five times a second.
	 */
	static final long NEAR_MS = 1_200;

	/**
	 * A VM that was not heard for this long is taken to have ended, in milliseconds:
	 * longer than cuts between VMs were seen to last.
	 */
	static final long LATELY_MS = 60_000;

	/** What each VM grants of what the one before it may. */
	private static final double NEXT_SHARE = 1.0 / 3;

	private final Map<String, Long> heardMs = new HashMap<>();

	private final long startedMs;

	private long lostMs;

	/**
	 * Create an empty memory.
	 * @param nowMs the steady clock, when this VM starts
	 */
	public PeerReachability(long nowMs) {
		this.startedMs = nowMs;
		this.lostMs = nowMs;
	}

	/**
	 * Take note of a message of another VM. To be called for each.
	 * @param vm the VM
	 * @param nowMs the steady clock
	 */
	public void onMessage(String vm, long nowMs) {
		this.heardMs.put(vm, nowMs);
	}

	/**
	 * Take note that another VM has told that it leaves.
	 * @param vm the VM
	 */
	public void onDraining(String vm) {
		this.heardMs.remove(vm);
	}

	/**
	 * Take note that a VM does not answer any more. What was heard before says nothing of
	 * which others this VM reaches since.
	 * @param nowMs the steady clock
	 */
	public void onPeerLost(long nowMs) {
		this.lostMs = nowMs;
	}

	/**
	 * Return this VM's part in a rate that all VMs share, where it holds the duty to
	 * grant it. Behind a cut there may be others that hold it too. Each grants a third of
	 * what the one before it may; and a third of that if it does not hear most of the VMs
	 * that may live. In all that is less than half as much again as the rate, whoever
	 * hears whom: only the first in rank, which has none before it, grants all.
	 * @param silentAhead the VMs before this one that may hold the duty elsewhere
	 * @param recorded all VMs that are known to exist or to have existed; one that has
	 * just started cannot know better which of them live
	 * @param nowMs the steady clock
	 * @return a share of the rate, 1 at most
	 */
	public double shareOfRate(Set<String> silentAhead, Set<String> recorded, long nowMs) {
		this.heardMs.values().removeIf((at) -> nowMs - at > LATELY_MS);
		long nearFromMs = Math.max(nowMs - NEAR_MS, this.lostMs);
		long near = this.heardMs.values().stream().filter((at) -> at >= nearFromMs).count() + 1;
		boolean most = 2 * near > mayLive(silentAhead, recorded, nowMs);
		return Math.pow(NEXT_SHARE, silentAhead.size() + (most ? 0 : 1));
	}

	// How many VMs may live, this one among them.
	private int mayLive(Set<String> silentAhead, Set<String> recorded, long nowMs) {
		Set<String> others = new HashSet<>(this.heardMs.keySet());
		others.addAll(silentAhead);
		if (nowMs - this.startedMs < LATELY_MS) {
			others.addAll(recorded);
			return Math.max(others.size(), 1);
		}
		return others.size() + 1;
	}

}
