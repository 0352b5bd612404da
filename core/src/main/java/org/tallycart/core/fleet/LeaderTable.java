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
 * Which VM holds each duty, as one VM sees it, and which VMs it has to ask whether they
 * live.
 * <p>
 * For each duty all VMs rank the VMs that may hold it alike, see {@link LeaderRanking}.
 * The first that works holds it. A VM asks only the holder and the next in rank, and for
 * 10 s more those that were, so the number of questions does not depend on the size of
 * the fleet. Views may differ for a while, so two VMs may hold a duty at the same time;
 * duties have to bear that.
 * <p>
 * Invariants: a holder is this VM itself, or a VM that answered lately; a VM that drains
 * holds nothing. Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class LeaderTable implements LeaderView {

	/** How many VMs that work are kept in touch with for a duty: one, and a spare. */
	private static final int WANTED = 2;

	/**
	 * How long a VM that lives and has no rank any more is still asked, in milliseconds:
	 * what it was asked for while it held a duty is done, or useless, by then.
	 */
	private static final long FORMER_MS = 10_000;

	/** A pause between two ticks that is longer means that this VM stood still. */
	private static final long STOOD_STILL_MS = 500;

	private final String vm;

	private final LeaderRanking ranks = new LeaderRanking();

	private final Map<String, PeerLiveness> links = new HashMap<>();

	private boolean draining;

	private long tickedMs = -1;

	/**
	 * Create a table.
	 * @param vm this VM's name
	 */
	public LeaderTable(String vm) {
		this.vm = vm;
	}

	/**
	 * Take the VMs that may exist.
	 * @param known their records
	 */
	public void updateRecords(Collection<VmRecord> known) {
		this.ranks.know(known);
		this.links.keySet().retainAll(this.ranks.vms());
	}

	/**
	 * Take the duties that matter to this VM.
	 * @param duties all of them
	 */
	public void setWatchedRoles(Collection<LeaderRole> duties) {
		this.ranks.want(duties);
	}

	@Override
	public String leader(LeaderRole duty) {
		return this.ranks.ofWanted(duty).stream().filter(this::works).findFirst().orElse(this.vm);
	}

	@Override
	public int countAhead(LeaderRole duty, long nowMs) {
		int ahead = 0;
		for (String name : this.ranks.of(duty)) {
			if (isThisAndWorks(name)) {
				return ahead;
			}
			if (works(name) || mayAnswerYet(name, nowMs)) {
				ahead++;
			}
		}
		return ahead;
	}

	@Override
	public Set<String> unresponsiveAhead(LeaderRole duty, long nowMs) {
		Set<String> silent = new HashSet<>();
		for (String name : this.ranks.ofWanted(duty)) {
			if (name.equals(this.vm)) {
				return silent;
			}
			PeerLiveness link = this.links.get(name);
			if (link != null && link.silentSince(nowMs - PeerReachability.LATELY_MS)) {
				silent.add(name);
			}
		}
		return silent;
	}

	@Override
	public boolean isLeaderKnown(LeaderRole duty, long nowMs) {
		for (String name : this.ranks.ofWanted(duty)) {
			if (works(name)) {
				return true;
			}
			if (mayAnswerYet(name, nowMs)) {
				return false;
			}
		}
		return true;
	}

	private boolean isThisAndWorks(String name) {
		return name.equals(this.vm) && !this.draining;
	}

	private boolean works(String name) {
		PeerLiveness link = this.links.get(name);
		return isThisAndWorks(name) || (link != null && link.working());
	}

	// Another VM that was not asked yet, or not long enough ago to be taken for lost.
	private boolean mayAnswerYet(String name, long nowMs) {
		PeerLiveness link = this.links.get(name);
		return !name.equals(this.vm) && (link == null || link.mayAnswerYet(nowMs));
	}

	/**
	 * Find the VMs that are to be asked now whether they live. To be called every few
	 * hundred milliseconds at least.
	 * @param nowMs the steady clock
	 * @return their records
	 */
	public List<VmRecord> dueHeartbeats(long nowMs) {
		forgiveIfStoodStill(nowMs);
		Map<String, Boolean> roles = new HashMap<>();
		this.ranks.ofWanted().forEach((rank) -> collectRoles(rank, roles, nowMs));
		keepFormer(roles, nowMs);
		List<VmRecord> due = new ArrayList<>();
		roles.forEach((name, asHolder) -> {
			if (link(name).ask(asHolder, nowMs)) {
				this.ranks.record(name).ifPresent(due::add);
			}
		});
		return due;
	}

	// A VM that is not asked cannot answer: without this it would be taken for lost.
	private void keepFormer(Map<String, Boolean> roles, long nowMs) {
		roles.keySet().forEach((name) -> link(name).onRole(nowMs));
		this.links.forEach((name, link) -> {
			if (link.live() && link.wantedSince(nowMs - FORMER_MS)) {
				roles.putIfAbsent(name, false);
			}
		});
		this.links.keySet().retainAll(roles.keySet());
	}

	private void forgiveIfStoodStill(long nowMs) {
		long pause = (this.tickedMs < 0) ? 0 : nowMs - this.tickedMs;
		this.tickedMs = nowMs;
		if (pause > STOOD_STILL_MS) {
			this.links.values().forEach((link) -> link.forgive(pause));
		}
	}

	private void collectRoles(List<String> rank, Map<String, Boolean> roles, long nowMs) {
		int working = 0;
		for (String name : rank) {
			if (working >= WANTED || isThisAndWorks(name)) {
				return;
			}
			if (name.equals(this.vm)) {
				continue;
			}
			PeerLiveness link = link(name);
			boolean asHolder = link.working() && working == 0;
			roles.merge(name, asHolder, Boolean::logicalOr);
			if (link.working() || link.mayAnswerYet(nowMs)) {
				working++;
			}
		}
	}

	private PeerLiveness link(String name) {
		return this.links.computeIfAbsent(name, (key) -> new PeerLiveness());
	}

	/**
	 * Take a VM's answer.
	 * @param name the VM
	 * @param incarnation its incarnation
	 * @param drains whether it is about to stop
	 * @param nowMs the steady clock
	 * @return what the answer changes
	 */
	public Change onAnswer(String name, long incarnation, boolean drains, long nowMs) {
		if (!this.ranks.vms().contains(name)) {
			return Change.NONE;
		}
		PeerLiveness link = link(name);
		boolean before = link.live();
		boolean restarted = link.onAnswer(incarnation, drains, nowMs);
		if (restarted) {
			return Change.RESTARTED;
		}
		return before ? Change.NONE : Change.FOUND;
	}

	/**
	 * Take note that a VM has told that it is about to stop.
	 * @param name the VM
	 */
	public void onDraining(String name) {
		if (this.ranks.vms().contains(name)) {
			link(name).onDraining();
		}
	}

	/**
	 * Find the VMs that have not answered for too long; they count as lost from now on.
	 * @param nowMs the steady clock
	 * @return their names
	 */
	public List<String> detectFailures(long nowMs) {
		List<String> silent = new ArrayList<>();
		this.links.forEach((name, link) -> {
			if (link.silent(nowMs)) {
				link.lose();
				silent.add(name);
			}
		});
		return silent;
	}

	/**
	 * Take note that the connection to a VM was closed. The VM may live: it is asked
	 * again at once.
	 * @param name the VM
	 * @return whether it counted as live until now
	 */
	public boolean onConnectionClosed(String name) {
		PeerLiveness link = this.links.get(name);
		if (link == null || !link.live()) {
			return false;
		}
		link.lose();
		link.askSoon();
		return true;
	}

	/** Take note that this VM is about to stop: it holds nothing from now on. */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Return whether this VM is about to stop.
	 * @return true if it is
	 */
	public boolean isDraining() {
		return this.draining;
	}

	/**
	 * Return the VMs that come first for reading the store and for passing on what it
	 * says, by rank alone: whoever does so at present is mostly among them.
	 * @param count how many for each of these duties
	 * @return their names, without this VM's
	 */
	public Set<String> preferredSources(int count) {
		Set<String> first = new LinkedHashSet<>();
		this.ranks.of(LeaderRole.STORE_READER).stream().limit(count).forEach(first::add);
		for (String domain : this.ranks.failureDomains()) {
			this.ranks.of(LeaderRole.domainRelay(domain)).stream().limit(count).forEach(first::add);
		}
		first.remove(this.vm);
		return first;
	}

	/**
	 * Return what is known of a VM.
	 * @param name the VM
	 * @return its record
	 */
	public Optional<VmRecord> record(String name) {
		return this.ranks.record(name);
	}

	/**
	 * Return the VMs that are known, whether they live or not.
	 * @return their names
	 */
	public Set<String> vms() {
		return this.ranks.vms();
	}

	/**
	 * Return how many VMs are known, whether they live or not.
	 * @return the count; 0 while no record was read
	 */
	public int recordCount() {
		return this.ranks.vms().size();
	}

	/**
	 * Return how many of the VMs that this one asks are live.
	 * @return the count, without this VM
	 */
	public int liveCount() {
		return (int) this.links.values().stream().filter(PeerLiveness::live).count();
	}

	/** What an answer changes. */
	public enum Change {

		/** Nothing. */
		NONE,
		/** The VM was not live before. */
		FOUND,
		/** The VM has started anew, and forgotten what it was asked. */
		RESTARTED

	}

}
