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
 * The other stewards: where they are, what was heard of them, and connections to them.
 * <p>
 * Not thread-safe: confined to the control thread.
 *
 * @since 0.1
 */
final class PeerDirectory {

	private static final long ACTIVE_BASE_MS = 5_000;

	private static final long ACTIVE_PER_VM_MS = 20;

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
	 * Record news of a peer.
	 * @param news the news
	 */
	void hear(Peer news) {
		if (news.vm().equals(this.self)) {
			return;
		}
		Peer known = this.table.peer(news.vm());
		if (known != null && news.incarnation() > known.incarnation()) {
			this.events.emit(EventCode.PEER_RESTARTED, news.vm() + " incarnation=" + news.incarnation());
		}
		this.table.update(news);
	}

	/**
	 * Return the entry VMs that can own slots and homes now, this one left out.
	 * @param nowMs the monotonic clock now
	 * @return their ids
	 */
	List<String> active(long nowMs) {
		Set<String> live = liveIds();
		long within = ACTIVE_BASE_MS + ACTIVE_PER_VM_MS * live.size();
		return this.table.active(nowMs, within).stream().filter(live::contains).toList();
	}

	private Set<String> liveIds() {
		return this.state.vms()
			.withRole(Vm.ROLE_ENTRY)
			.stream()
			.filter((vm) -> vm.state() == VmState.LIVE)
			.map(Vm::id)
			.collect(Collectors.toSet());
	}

	/**
	 * Return where heartbeats may go: the listed VMs, or the seeds while no list is
	 * known.
	 * @return the addresses
	 */
	List<Address> targets() {
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
	 * @param vm the VM
	 * @return the connection, or empty if the VM is not listed
	 */
	Optional<WireCaller> client(String vm) {
		return this.state.vms().find(vm).map((found) -> client(found.address()));
	}

	WireCaller client(Address address) {
		return this.clients.computeIfAbsent(address, this.connect);
	}

	/**
	 * Forget VMs that are no longer listed.
	 */
	void prune() {
		Set<String> listed = this.state.vms().vms().stream().map(Vm::id).collect(Collectors.toSet());
		if (listed.isEmpty()) {
			return;
		}
		this.table.retain(listed);
		Set<Address> wanted = this.state.vms().vms().stream().map(Vm::address).collect(Collectors.toSet());
		wanted.addAll(this.seeds);
		this.clients.entrySet().removeIf((entry) -> {
			boolean gone = !wanted.contains(entry.getKey());
			if (gone) {
				entry.getValue().close();
			}
			return gone;
		});
	}

	PeerTable table() {
		return this.table;
	}

	void close() {
		this.clients.values().forEach(WireCaller::close);
	}

}
