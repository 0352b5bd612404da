package org.tallycart.steward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.tallycart.core.ini.Address;
import org.tallycart.core.membership.Peer;
import org.tallycart.core.membership.PeerTable;
import org.tallycart.core.membership.Vm;
import org.tallycart.core.membership.VmState;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.event.EventLog;
import org.tallycart.wire.WireCaller;

/**
 * Directory of the other stewards: their addresses, the latest known state of each, and
 * the connections to them.
 * <p>
 * Not thread-safe: confined to the control thread.
 *
 * @since 0.1
 */
final class PeerDirectory {

	/** Fixed part of the time without contact after which a VM is no longer active. */
	private static final long ACTIVE_WINDOW_BASE_MS = 5_000;

	/**
	 * Addition to that time for each live VM, as gossip takes longer in a larger fleet.
	 */
	private static final long ACTIVE_WINDOW_PER_VM_MS = 20;

	private final String self;

	private final FleetState state;

	private final Function<Address, ? extends WireCaller> connect;

	private final EventLog events;

	private final List<Address> seeds;

	private final PeerTable table = PeerTable.create();

	private final Map<Address, WireCaller> clients = new HashMap<>();

	PeerDirectory(String self, FleetState state, Function<Address, ? extends WireCaller> connect, List<Address> seeds,
			EventLog events) {
		this.self = self;
		this.state = state;
		this.connect = connect;
		this.seeds = seeds;
		this.events = events;
	}

	/**
	 * Update the state of a peer. An update of this VM itself is ignored.
	 * @param observed the peer's state
	 */
	void update(Peer observed) {
		if (observed.vm().equals(this.self)) {
			return;
		}
		Peer previous = this.table.peer(observed.vm());
		if (previous != null && observed.incarnation() > previous.incarnation()) {
			this.events.emit(EventCode.PEER_RESTARTED, observed.vm() + " incarnation=" + observed.incarnation());
		}
		this.table.update(observed);
	}

	/**
	 * Return the other entry VMs that can own slots and allocate shares.
	 * @param nowMs the current time of the monotonic clock
	 * @return the ids of the VMs that are listed as live and from which a message arrived
	 * recently
	 */
	List<String> activeVms(long nowMs) {
		Set<String> live = liveEntryIds();
		long windowMs = ACTIVE_WINDOW_BASE_MS + ACTIVE_WINDOW_PER_VM_MS * live.size();
		return this.table.active(nowMs, windowMs).stream().filter(live::contains).toList();
	}

	private Set<String> liveEntryIds() {
		return this.state.vms()
			.withRole(Vm.ROLE_ENTRY)
			.stream()
			.filter((vm) -> vm.state() == VmState.LIVE)
			.map(Vm::id)
			.collect(Collectors.toSet());
	}

	/**
	 * Return the addresses that heartbeats can be sent to.
	 * @return the addresses of the other listed entry VMs, or the seeds if there are none
	 */
	List<Address> heartbeatTargets() {
		List<Address> targets = new ArrayList<>();
		for (Vm vm : this.state.vms().withRole(Vm.ROLE_ENTRY)) {
			if (!vm.id().equals(this.self)) {
				targets.add(vm.address());
			}
		}
		return targets.isEmpty() ? this.seeds : targets;
	}

	/**
	 * Return a connection to a VM's steward.
	 * @param vm the VM's id
	 * @return the connection, or empty if the VM is not listed
	 */
	Optional<WireCaller> client(String vm) {
		return this.state.vms().find(vm).map((found) -> client(found.address()));
	}

	WireCaller client(Address address) {
		return this.clients.computeIfAbsent(address, this.connect);
	}

	/**
	 * Remove VMs that are no longer listed, and close the connections to them.
	 */
	void removeUnlisted() {
		Set<String> listed = this.state.vms().vms().stream().map(Vm::id).collect(Collectors.toSet());
		if (listed.isEmpty()) {
			return;
		}
		this.table.retain(listed);
		Set<Address> retained = this.state.vms().vms().stream().map(Vm::address).collect(Collectors.toSet());
		retained.addAll(this.seeds);
		this.clients.entrySet().removeIf((entry) -> {
			boolean unlisted = !retained.contains(entry.getKey());
			if (unlisted) {
				entry.getValue().close();
			}
			return unlisted;
		});
	}

	PeerTable table() {
		return this.table;
	}

	void close() {
		this.clients.values().forEach(WireCaller::close);
	}

}
