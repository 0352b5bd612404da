package org.tallycart.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntUnaryOperator;

import org.jspecify.annotations.Nullable;

/**
 * The last known states of the other stewards.
 * <p>
 * Invariant: the incarnation of a VM never decreases; updates from an earlier incarnation
 * are dropped, so that a restarted process is not confused with its predecessor. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class PeerTable {

	private final Map<String, Peer> peers = new HashMap<>();

	private PeerTable() {
	}

	/**
	 * Create an empty table.
	 * @return the table
	 */
	public static PeerTable create() {
		return new PeerTable();
	}

	/**
	 * Update the state of a peer.
	 * @param update the received state
	 * @return true if the update was applied; false if it is from an earlier incarnation
	 */
	public boolean update(Peer update) {
		Peer known = this.peers.get(update.vm());
		if (known != null && known.incarnation() > update.incarnation()) {
			return false;
		}
		boolean draining = update.draining()
				|| (known != null && known.incarnation() == update.incarnation() && known.draining());
		long lastHeardMs = (known != null) ? Math.max(known.lastHeardMs(), update.lastHeardMs()) : update.lastHeardMs();
		this.peers.put(update.vm(), new Peer(update.vm(), update.incarnation(), draining, lastHeardMs));
		return true;
	}

	/**
	 * Return the state of the steward of a VM.
	 * @param vm the VM
	 * @return the peer, or null if it is unknown
	 */
	public @Nullable Peer peer(String vm) {
		return this.peers.get(vm);
	}

	/**
	 * Remove the VMs that are not in the list.
	 * @param live the VMs in the list
	 */
	public void retain(Collection<String> live) {
		this.peers.keySet().retainAll(live);
	}

	/**
	 * Return the peers that are not draining and have sent a message recently.
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 * @param withinMs the maximum age of the last message, in milliseconds
	 * @return the VMs of the peers
	 */
	public List<String> active(long nowMs, long withinMs) {
		List<String> vms = new ArrayList<>();
		for (Peer peer : this.peers.values()) {
			if (!peer.draining() && nowMs - peer.lastHeardMs() <= withinMs) {
				vms.add(peer.vm());
			}
		}
		return vms;
	}

	/**
	 * Choose peers at random.
	 * @param candidates the VMs to choose from
	 * @param count the number of peers
	 * @param random returns a random number from 0 to its argument, exclusive
	 * @return up to {@code count} distinct VMs
	 */
	public static List<String> sample(List<String> candidates, int count, IntUnaryOperator random) {
		List<String> remaining = new ArrayList<>(candidates);
		List<String> chosen = new ArrayList<>();
		while (!remaining.isEmpty() && chosen.size() < count) {
			chosen.add(remaining.remove(random.applyAsInt(remaining.size())));
		}
		return chosen;
	}

}
