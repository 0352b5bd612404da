package org.tallycart.core.membership;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Selects, without an election, the VMs of each failure domain that watch the platform's
 * service. Processes with different VM lists may select additional watchers, which is
 * harmless.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class WatcherSelection {

	/** Number of watchers in each failure domain. */
	public static final int PER_DOMAIN = 2;

	private WatcherSelection() {
	}

	/**
	 * Return whether a VM is a watcher of its failure domain.
	 * @param vm the VM
	 * @param domain the failure domain of the VM
	 * @param list the list of VMs
	 * @return true if it is, or if the list contains no VM of the domain
	 */
	public static boolean isWatcher(String vm, String domain, VmList list) {
		Map<String, List<String>> byDomain = list.withRole(Vm.ROLE_ENTRY)
			.stream()
			.filter((other) -> other.state() == VmState.LIVE)
			.collect(Collectors.groupingBy(Vm::domain, Collectors.mapping(Vm::id, Collectors.toList())));
		List<String> candidates = byDomain.getOrDefault(domain, List.of());
		return candidates.isEmpty() || RendezvousHash.top("watch " + domain, candidates, PER_DOMAIN).contains(vm);
	}

}
