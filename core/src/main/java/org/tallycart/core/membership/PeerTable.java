package org.tallycart.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntUnaryOperator;

import org.jspecify.annotations.Nullable;

/**
 * What this steward has heard of the others.
 * <p>
 * Invariant: a VM's incarnation never falls; news of an earlier incarnation is dropped,
 * so a restarted process is never mistaken for its earlier self. Not thread-safe.
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
	 * Record news of a peer.
	 * @param news the news
	 * @return whether it was taken; false if it is of an earlier incarnation
	 */
	public boolean update(Peer news) {
		Peer known = this.peers.get(news.vm());
		if (known != null && known.incarnation() > news.incarnation()) {
			return false;
		}
		boolean drains = news.draining()
				|| (known != null && known.incarnation() == news.incarnation() && known.draining());
		long heardMs = (known != null) ? Math.max(known.lastHeardMs(), news.lastHeardMs()) : news.lastHeardMs();
		this.peers.put(news.vm(), new Peer(news.vm(), news.incarnation(), drains, heardMs));
		return true;
	}

	/**
	 * Return what is known of a VM's steward.
	 * @param vm the VM
	 * @return the peer, or null if nothing was heard
	 */
	public @Nullable Peer peer(String vm) {
		return this.peers.get(vm);
	}

	/**
	 * Forget VMs that are not in the list.
	 * @param live the VMs in the list
	 */
	public void retain(Collection<String> live) {
		this.peers.keySet().retainAll(live);
	}

	/**
	 * Return the peers that were heard lately and do not drain.
	 * @param nowMs the monotonic clock now
	 * @param withinMs how long ago is lately
	 * @return their VMs
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
	 * @param count how many
	 * @param random returns a number below its argument
	 * @return up to that many different VMs
	 */
	public static List<String> sample(List<String> candidates, int count, IntUnaryOperator random) {
		List<String> left = new ArrayList<>(candidates);
		List<String> chosen = new ArrayList<>();
		while (!left.isEmpty() && chosen.size() < count) {
			chosen.add(left.remove(random.applyAsInt(left.size())));
		}
		return chosen;
	}

}
