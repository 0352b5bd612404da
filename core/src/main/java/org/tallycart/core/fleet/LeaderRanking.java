package org.tallycart.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.tallycart.core.membership.RendezvousHash;

/**
 * Ranks the VMs as candidates of leader roles: by capacity, and by rendezvous hash among
 * VMs of equal capacity. A VM that ranks first for a heavy role ranks after its equals
 * for the other heavy roles, so one VM leads several heavy roles only if there are fewer
 * VMs of its capacity than roles. By hash alone, several heavy roles often fall to one
 * VM.
 * <p>
 * Invariant: VMs with the same records and the same watched heavy roles compute the same
 * ranks. Not thread-safe: guarded by {@link LeaderTable}.
 */
final class LeaderRanking {

	private final Map<String, VmRecord> records = new HashMap<>();

	private final Map<LeaderRole, List<String>> watched = new HashMap<>();

	// Ranks of roles that are not watched, computed on demand.
	private final Map<LeaderRole, List<String>> unwatched = new HashMap<>();

	// Each list repeats the same records, for which the ranks do not change.
	void updateRecords(Collection<VmRecord> newRecords) {
		Map<String, VmRecord> updated = new HashMap<>();
		newRecords.forEach((record) -> updated.put(record.vm(), record));
		if (updated.equals(this.records)) {
			return;
		}
		this.records.clear();
		this.records.putAll(updated);
		this.unwatched.clear();
		rankAll(Set.copyOf(this.watched.keySet()));
	}

	void setWatchedRoles(Collection<LeaderRole> roles) {
		Set<LeaderRole> updated = Set.copyOf(roles);
		if (!updated.equals(this.watched.keySet())) {
			rankAll(updated);
		}
	}

	private void rankAll(Set<LeaderRole> roles) {
		this.watched.clear();
		Set<String> heavyLeaders = new HashSet<>();
		for (LeaderRole role : roles.stream().sorted(Comparator.comparing(LeaderRole::name)).toList()) {
			List<String> rank = computeRank(role, role.heavy() ? heavyLeaders : Set.of());
			this.watched.put(role, rank);
			if (role.heavy()) {
				rank.stream().findFirst().ifPresent(heavyLeaders::add);
			}
		}
	}

	private List<String> computeRank(LeaderRole role, Set<String> heavyLeaders) {
		Map<Integer, List<String>> byCapacity = new TreeMap<>(Comparator.reverseOrder());
		this.records.values()
			.stream()
			.filter(role::isEligible)
			.forEach((record) -> byCapacity.computeIfAbsent(record.capacity(), (key) -> new ArrayList<>())
				.add(record.vm()));
		List<String> ranked = new ArrayList<>();
		for (List<String> equals : byCapacity.values()) {
			List<String> byHash = RendezvousHash.top(role.name(), equals, equals.size());
			byHash.stream().filter((vm) -> !heavyLeaders.contains(vm)).forEach(ranked::add);
			byHash.stream().filter(heavyLeaders::contains).forEach(ranked::add);
		}
		return ranked;
	}

	Collection<List<String>> watchedRanks() {
		return this.watched.values();
	}

	// Empty for a role that is not watched.
	List<String> watchedRank(LeaderRole role) {
		return this.watched.getOrDefault(role, List.of());
	}

	List<String> rankOf(LeaderRole role) {
		List<String> rank = this.watched.get(role);
		return (rank != null) ? rank : this.unwatched.computeIfAbsent(role, (key) -> computeRank(key, Set.of()));
	}

	Optional<VmRecord> record(String vm) {
		return Optional.ofNullable(this.records.get(vm));
	}

	Set<String> failureDomains() {
		return this.records.values()
			.stream()
			.map(VmRecord::failureDomain)
			.collect(Collectors.toCollection(TreeSet::new));
	}

	Set<String> vms() {
		return this.records.keySet();
	}

}
