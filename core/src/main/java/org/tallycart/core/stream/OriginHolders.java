package org.tallycart.core.stream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.tallycart.core.fleet.VmRecord;
import org.tallycart.core.membership.HashedName;
import org.tallycart.core.membership.RendezvousHash;

/**
 * Ranks the VMs that keep the origin of a stream: by rendezvous hash of the stream's id,
 * spread over the failure domains.
 * <p>
 * Invariant: VMs with the same records rank alike; where records differ, most ranks still
 * share VMs. Not thread-safe: guarded by {@link StreamOriginRegistry}.
 */
final class OriginHolders {

	private final Map<String, List<HashedName>> byDomain = new TreeMap<>();

	private Set<VmRecord> records = Set.of();

	private int vmCount;

	// Returns whether the records have changed; each list repeats the same ones.
	boolean updateVms(Collection<VmRecord> updated) {
		Set<VmRecord> distinct = new HashSet<>(updated);
		if (distinct.equals(this.records)) {
			return false;
		}
		this.records = distinct;
		this.byDomain.clear();
		distinct.forEach((record) -> this.byDomain.computeIfAbsent(record.failureDomain(), (key) -> new ArrayList<>())
			.add(HashedName.of(record.vm())));
		this.vmCount = distinct.size();
		return true;
	}

	/**
	 * Return the VMs that keep the origin of a stream.
	 * @param id the id of the stream
	 * @param count the maximum number of VMs
	 * @return the names of the VMs, the highest-ranked first; a rank of fewer VMs is a
	 * prefix of a rank of more
	 */
	List<String> rank(String id, int count) {
		List<String> domains = RendezvousHash.top(id, this.byDomain.keySet(), this.byDomain.size());
		Map<String, Set<HashedName>> chosen = new HashMap<>();
		Set<String> ranked = new LinkedHashSet<>();
		while (ranked.size() < Math.min(count, this.vmCount)) {
			for (String domain : domains) {
				Set<HashedName> former = chosen.computeIfAbsent(domain, (key) -> new HashSet<>());
				RendezvousHash.first(id, without(former, this.byDomain.getOrDefault(domain, List.of())), (name) -> name)
					.ifPresent((vm) -> {
						former.add(vm);
						ranked.add(vm.name());
					});
			}
		}
		return ranked.stream().limit(count).toList();
	}

	private static List<HashedName> without(Set<HashedName> former, List<HashedName> vms) {
		if (former.isEmpty()) {
			return vms;
		}
		return vms.stream().filter((vm) -> !former.contains(vm)).toList();
	}

}
