package org.tallycart.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Elects the leader of each role, as one VM sees it, and schedules the heartbeats that
 * this needs.
 * <p>
 * All VMs rank the candidates of a role alike, see {@link LeaderRanking}, and the first
 * available one is the leader. A VM sends heartbeat requests only to the leader and the
 * standby, and for some time to former ones, so the number of heartbeats of a VM does not
 * depend on the size of the fleet. Views may differ for a while, so a role must tolerate
 * several leaders at the same time.
 * <p>
 * Invariants: a leader is this VM itself, or a VM that replied recently; a draining VM
 * leads no role. Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class LeaderTable implements LeaderView {

	/**
	 * Number of available VMs that receive heartbeat requests for a role: the leader and
	 * a standby.
	 */
	private static final int LIVE_PEERS_PER_ROLE = 2;

	/**
	 * Time for which a former leader or standby still receives heartbeat requests, in
	 * milliseconds; the work that it accepted as the leader is done or obsolete by then.
	 */
	private static final long FORMER_ROLE_MS = 10_000;

	/** Time between two ticks above which this VM itself was paused, in milliseconds. */
	private static final long PAUSE_THRESHOLD_MS = 500;

	private final String vm;

	private final LeaderRanking ranking = new LeaderRanking();

	private final Map<String, PeerLiveness> peers = new HashMap<>();

	private boolean draining;

	private long lastTickMs = -1;

	/**
	 * Create a table.
	 * @param vm this VM's name
	 */
	public LeaderTable(String vm) {
		this.vm = vm;
	}

	/**
	 * Update the VMs that may exist.
	 * @param records the records of all VMs
	 */
	public void updateRecords(Collection<VmRecord> records) {
		this.ranking.updateRecords(records);
		this.peers.keySet().retainAll(this.ranking.vms());
	}

	/**
	 * Set the roles whose leaders this VM uses.
	 * @param roles all watched roles
	 */
	public void setWatchedRoles(Collection<LeaderRole> roles) {
		this.ranking.setWatchedRoles(roles);
	}

	@Override
	public String leader(LeaderRole role) {
		return this.ranking.watchedRank(role).stream().filter(this::isAvailable).findFirst().orElse(this.vm);
	}

	@Override
	public int countAhead(LeaderRole role, long nowMs) {
		int ahead = 0;
		for (String name : this.ranking.rankOf(role)) {
			if (isThisAndAvailable(name)) {
				return ahead;
			}
			if (isAvailable(name) || mayStillReply(name, nowMs)) {
				ahead++;
			}
		}
		return ahead;
	}

	@Override
	public Set<String> unresponsiveAhead(LeaderRole role, long nowMs) {
		Set<String> unresponsive = new HashSet<>();
		for (String name : this.ranking.watchedRank(role)) {
			if (name.equals(this.vm)) {
				return unresponsive;
			}
			PeerLiveness peer = this.peers.get(name);
			if (peer != null && peer.isUnresponsiveSince(nowMs - PeerReachability.PEER_RETENTION_MS)) {
				unresponsive.add(name);
			}
		}
		return unresponsive;
	}

	@Override
	public boolean isLeaderKnown(LeaderRole role, long nowMs) {
		for (String name : this.ranking.watchedRank(role)) {
			if (isAvailable(name)) {
				return true;
			}
			if (mayStillReply(name, nowMs)) {
				return false;
			}
		}
		return true;
	}

	private boolean isThisAndAvailable(String name) {
		return name.equals(this.vm) && !this.draining;
	}

	private boolean isAvailable(String name) {
		PeerLiveness peer = this.peers.get(name);
		return isThisAndAvailable(name) || (peer != null && peer.isAvailable());
	}

	// Returns true for another VM without a heartbeat request, or whose first one has not
	// timed out.
	private boolean mayStillReply(String name, long nowMs) {
		PeerLiveness peer = this.peers.get(name);
		return !name.equals(this.vm) && (peer == null || peer.mayStillReply(nowMs));
	}

	/**
	 * Return the VMs to which a heartbeat request is due. Must be called at least every
	 * few hundred milliseconds.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the records of the VMs
	 */
	public List<VmRecord> dueHeartbeats(long nowMs) {
		extendDeadlinesAfterPause(nowMs);
		Map<String, Boolean> roles = new HashMap<>();
		this.ranking.watchedRanks().forEach((rank) -> collectRoles(rank, roles, nowMs));
		keepFormerPeers(roles, nowMs);
		List<VmRecord> due = new ArrayList<>();
		roles.forEach((name, asLeader) -> {
			if (peer(name).startHeartbeatIfDue(asLeader, nowMs)) {
				this.ranking.record(name).ifPresent(due::add);
			}
		});
		return due;
	}

	// Without heartbeat requests, a live VM would time out.
	private void keepFormerPeers(Map<String, Boolean> roles, long nowMs) {
		roles.keySet().forEach((name) -> peer(name).onRole(nowMs));
		this.peers.forEach((name, peer) -> {
			if (peer.isLive() && peer.hadRoleSince(nowMs - FORMER_ROLE_MS)) {
				roles.putIfAbsent(name, false);
			}
		});
		this.peers.keySet().retainAll(roles.keySet());
	}

	private void extendDeadlinesAfterPause(long nowMs) {
		long pause = (this.lastTickMs < 0) ? 0 : nowMs - this.lastTickMs;
		this.lastTickMs = nowMs;
		if (pause > PAUSE_THRESHOLD_MS) {
			this.peers.values().forEach((peer) -> peer.extendDeadline(pause));
		}
	}

	private void collectRoles(List<String> rank, Map<String, Boolean> roles, long nowMs) {
		int available = 0;
		for (String name : rank) {
			if (available >= LIVE_PEERS_PER_ROLE || isThisAndAvailable(name)) {
				return;
			}
			if (name.equals(this.vm)) {
				continue;
			}
			PeerLiveness peer = peer(name);
			boolean asLeader = peer.isAvailable() && available == 0;
			roles.merge(name, asLeader, Boolean::logicalOr);
			if (peer.isAvailable() || peer.mayStillReply(nowMs)) {
				available++;
			}
		}
	}

	private PeerLiveness peer(String name) {
		return this.peers.computeIfAbsent(name, (key) -> new PeerLiveness());
	}

	/**
	 * Record a heartbeat reply of a VM. Replies of VMs without a record are ignored.
	 * @param name the name of the VM
	 * @param incarnation the incarnation of the VM
	 * @param peerDraining whether the VM is draining
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the change of the VM's state
	 */
	public Change onReply(String name, long incarnation, boolean peerDraining, long nowMs) {
		if (!this.ranking.vms().contains(name)) {
			return Change.NONE;
		}
		PeerLiveness peer = peer(name);
		boolean wasLive = peer.isLive();
		boolean restarted = peer.onReply(incarnation, peerDraining, nowMs);
		if (restarted) {
			return Change.RESTARTED;
		}
		return wasLive ? Change.NONE : Change.FOUND;
	}

	/**
	 * Record that a VM is draining.
	 * @param name the name of the VM
	 */
	public void onDraining(String name) {
		if (this.ranking.vms().contains(name)) {
			peer(name).onDraining();
		}
	}

	/**
	 * Mark the VMs whose replies have timed out as failed.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the names of the VMs that have failed since the last call
	 */
	public List<String> detectFailures(long nowMs) {
		List<String> failed = new ArrayList<>();
		this.peers.forEach((name, peer) -> {
			if (peer.hasTimedOut(nowMs)) {
				peer.markFailed();
				failed.add(name);
			}
		});
		return failed;
	}

	/**
	 * Record that the connection to a VM was closed. The VM counts as failed until it
	 * replies to a heartbeat request, which is due at once.
	 * @param name the name of the VM
	 * @return true if the VM was live until now
	 */
	public boolean onConnectionClosed(String name) {
		PeerLiveness peer = this.peers.get(name);
		if (peer == null || !peer.isLive()) {
			return false;
		}
		peer.markFailed();
		peer.resetHeartbeat();
		return true;
	}

	/** Record that this VM is draining; it leads no role from now on. */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Return whether this VM is draining.
	 * @return true if it is draining
	 */
	public boolean isDraining() {
		return this.draining;
	}

	/**
	 * Return the VMs that rank first as store reader and as relay of each failure domain,
	 * whether they are available or not. They usually include the current leaders.
	 * @param count the number of VMs for each role
	 * @return the names of the VMs, without this one
	 */
	public Set<String> preferredSources(int count) {
		Set<String> sources = new LinkedHashSet<>();
		this.ranking.rankOf(LeaderRole.STORE_READER).stream().limit(count).forEach(sources::add);
		for (String domain : this.ranking.failureDomains()) {
			this.ranking.rankOf(LeaderRole.domainRelay(domain)).stream().limit(count).forEach(sources::add);
		}
		sources.remove(this.vm);
		return sources;
	}

	/**
	 * Return the record of a VM.
	 * @param name the name of the VM
	 * @return the record; empty if the VM is not known
	 */
	public Optional<VmRecord> record(String name) {
		return this.ranking.record(name);
	}

	/**
	 * Return whether a VM receives heartbeat requests because of its roles.
	 * @param name the name of the VM
	 * @return false if its replies do not matter for the choice of leaders
	 */
	public boolean isMonitored(String name) {
		return this.peers.containsKey(name);
	}

	/**
	 * Return all VMs with a record, whether they are live or not.
	 * @return the names of the VMs
	 */
	public Set<String> vms() {
		return this.ranking.vms();
	}

	/**
	 * Return the number of VMs with a record, whether they are live or not.
	 * @return the count; 0 before the records are loaded
	 */
	public int recordCount() {
		return this.ranking.vms().size();
	}

	/**
	 * Return the number of live VMs that receive heartbeat requests from this one.
	 * @return the count, without this VM
	 */
	public int liveCount() {
		return (int) this.peers.values().stream().filter(PeerLiveness::isLive).count();
	}

	/** The change of a VM's state by a heartbeat reply. */
	public enum Change {

		/** No change. */
		NONE,
		/** The VM was not live before. */
		FOUND,
		/** The VM has restarted and lost the state of earlier requests. */
		RESTARTED

	}

}
