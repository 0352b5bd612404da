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
 * The order in which VMs come to hold duties: those with most capacity first, and by
 * rendezvous hash among equals. A VM that is the first for a heavy duty comes after its
 * equals for the other heavy ones, so two pools with load meet at one VM only where there
 * are fewer VMs of its capacity than pools. By hash alone, two of three pools meet at one
 * of 18 equal VMs in one deployment of six.
 * <p>
 * Invariant: VMs that know the same records and want the same heavy duties rank alike.
 * Not thread-safe: guarded by {@link LeaderTable}.
 */
final class LeaderRanking {

	private final Map<String, VmRecord> records = new HashMap<>();

	private final Map<LeaderRole, List<String>> wanted = new HashMap<>();

	// Of duties whose holders are not asked; made when they are needed.
	private final Map<LeaderRole, List<String>> others = new HashMap<>();

	// The same records come again with each list, and rank as before.
	void know(Collection<VmRecord> known) {
		Map<String, VmRecord> fresh = new HashMap<>();
		known.forEach((record) -> fresh.put(record.vm(), record));
		if (fresh.equals(this.records)) {
			return;
		}
		this.records.clear();
		this.records.putAll(fresh);
		this.others.clear();
		rankAll(Set.copyOf(this.wanted.keySet()));
	}

	void want(Collection<LeaderRole> duties) {
		Set<LeaderRole> fresh = Set.copyOf(duties);
		if (!fresh.equals(this.wanted.keySet())) {
			rankAll(fresh);
		}
	}

	private void rankAll(Set<LeaderRole> duties) {
		this.wanted.clear();
		Set<String> busy = new HashSet<>();
		for (LeaderRole duty : duties.stream().sorted(Comparator.comparing(LeaderRole::subject)).toList()) {
			List<String> rank = rank(duty, duty.heavy() ? busy : Set.of());
			this.wanted.put(duty, rank);
			if (duty.heavy()) {
				rank.stream().findFirst().ifPresent(busy::add);
			}
		}
	}

	private List<String> rank(LeaderRole duty, Set<String> busy) {
		Map<Integer, List<String>> byCapacity = new TreeMap<>(Comparator.reverseOrder());
		this.records.values()
			.stream()
			.filter(duty::mayBeHeldBy)
			.forEach((record) -> byCapacity.computeIfAbsent(record.capacity(), (key) -> new ArrayList<>())
				.add(record.vm()));
		List<String> ranked = new ArrayList<>();
		for (List<String> equals : byCapacity.values()) {
			List<String> byHash = RendezvousHash.top(duty.subject(), equals, equals.size());
			byHash.stream().filter((vm) -> !busy.contains(vm)).forEach(ranked::add);
			byHash.stream().filter(busy::contains).forEach(ranked::add);
		}
		return ranked;
	}

	Collection<List<String>> ofWanted() {
		return this.wanted.values();
	}

	// Empty for a duty that is not wanted.
	List<String> ofWanted(LeaderRole duty) {
		return this.wanted.getOrDefault(duty, List.of());
	}

	List<String> of(LeaderRole duty) {
		List<String> rank = this.wanted.get(duty);
		return (rank != null) ? rank : this.others.computeIfAbsent(duty, (key) -> rank(key, Set.of()));
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
