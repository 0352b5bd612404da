package org.tallycart.core.membership;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Chooses, with no election, the few VMs of each failure domain that watch the platform's
 * service. Two lists that differ choose a few more watchers, which does no harm.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class WatcherSelection {

	/** Watchers in each failure domain. */
	public static final int PER_DOMAIN = 2;

	private WatcherSelection() {
	}

	/**
	 * Return whether a VM is one of its failure domain's watchers.
	 * @param vm the VM
	 * @param domain its failure domain
	 * @param list the list of VMs
	 * @return true if it is, or if its domain has no VM in the list
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
