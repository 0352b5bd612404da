package org.tallycart.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.tallycart.core.ini.Address;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link LeaderTable}: the tables of several VMs with a simulated network
 * between them.
 */
public class LeaderTableTests {

	private static final LeaderRole ROLE = LeaderRole.poolDispatcher("pool");

	private static final long STEP_MS = 100;

	private static final long FORMER_ROLE_AND_TIMEOUT_MS = 14_000;

	private static List<VmRecord> records(int vms) {
		return IntStream.range(0, vms)
			.mapToObj((i) -> new VmRecord("vm-" + i, new Address("10.0.0.1", i + 1), "d" + i % 4, (i < 4) ? 1500 : 360))
			.toList();
	}

	@Test
	void allVmsAgreeOnOneOfTheLargest() {
		SimulatedFleet fleet = new SimulatedFleet(40);
		fleet.run(2_000);
		assertEquals(fleet.leaders(ROLE).size(), 1);
		int number = Integer.parseInt(fleet.leaders(ROLE).iterator().next().substring(3));
		assertTrue(number < 4, "a small VM leads a role: " + number);
	}

	/**
	 * Four of the VMs are large, so three pools have different leaders, whatever the pool
	 * names.
	 */
	@Test(dataProvider = "seeds")
	void heavyRolesAreSpreadOverVmsOfEqualCapacity(long seed) {
		LeaderTable table = new LeaderTable("vm-39");
		table.updateRecords(records(40));
		List<LeaderRole> roles = IntStream.range(0, 3)
			.mapToObj((i) -> LeaderRole.poolDispatcher("pool" + seed + i))
			.toList();
		table.setWatchedRoles(roles);
		table.dueHeartbeats(0);
		records(4).forEach((record) -> table.onReply(record.vm(), 1, false, 10));
		assertEquals(roles.stream().map(table::leader).distinct().count(), 3);
	}

	/**
	 * All VMs start at once and have work for a pool before they receive replies of each
	 * other. Without a single leader, each VM would dispatch for the pool.
	 */
	@Test
	void duringAStartOnlyOneVmConsidersItselfTheLeader() {
		SimulatedFleet fleet = new SimulatedFleet(95);
		Set<String> unreachable = new HashSet<>(fleet.tables.keySet());
		int dispatchers = 0;
		for (int step = 0; step < 6; step++) {
			fleet.down.addAll(unreachable);
			fleet.tables.forEach((vm, table) -> table.dueHeartbeats(fleet.nowMs));
			dispatchers = Math.max(dispatchers, fleet.countSelfLeaders());
			fleet.down.clear();
			unreachable.removeIf((vm) -> Integer.parseInt(vm.substring(3)) % 6 == fleet.nowMs / STEP_MS);
			fleet.run(STEP_MS);
		}
		assertEquals(dispatchers, 1, "VMs that dispatch at the same time");
	}

	@Test
	void anUnresponsiveVmDoesNotKeepTheLeaderUnknown() {
		SimulatedFleet fleet = new SimulatedFleet(12);
		IntStream.range(0, 4).forEach((i) -> fleet.down.add("vm-" + i));
		fleet.run(3_000);
		fleet.tables
			.forEach((vm, table) -> assertTrue(fleet.down.contains(vm) || table.isLeaderKnown(ROLE, fleet.nowMs)));
	}

	@Test
	void aRoleOfAFailureDomainIsLedThere() {
		SimulatedFleet fleet = new SimulatedFleet(12);
		LeaderRole role = LeaderRole.domainRelay("d1");
		fleet.watch(role);
		fleet.run(2_000);
		int number = Integer.parseInt(fleet.leaders(role).iterator().next().substring(3));
		assertEquals(number % 4, 1);
	}

	@Test(dataProvider = "losses")
	void aFailedLeaderIsReplacedWithinASecond(boolean drains) {
		SimulatedFleet fleet = new SimulatedFleet(12);
		fleet.run(3_000);
		String formerLeader = fleet.leaders(ROLE).iterator().next();
		if (drains) {
			fleet.table(formerLeader).drain();
		}
		else {
			fleet.down.add(formerLeader);
		}
		fleet.run(1_000);
		assertEquals(fleet.leaders(ROLE).size(), 1);
		assertFalse(fleet.leaders(ROLE).contains(formerLeader));
	}

	/**
	 * Its heartbeat period grows, but the work that it still has must not be given up.
	 */
	@Test
	void aDrainingLeaderThatRepliesHasNotFailed() {
		SimulatedFleet fleet = new SimulatedFleet(12);
		fleet.run(3_000);
		fleet.table(fleet.leaders(ROLE).iterator().next()).drain();
		fleet.run(6_000);
		assertEquals(fleet.failed, Set.of());
	}

	@Test
	void aDrainingVmLeadsNoRole() {
		SimulatedFleet fleet = new SimulatedFleet(12);
		fleet.run(3_000);
		String formerLeader = fleet.leaders(ROLE).iterator().next();
		fleet.tables.forEach((vm, table) -> table.onDraining(formerLeader));
		fleet.table(formerLeader).drain();
		assertFalse(fleet.leaders(ROLE).contains(formerLeader), "no heartbeat was needed");
	}

	@DataProvider
	Object[][] losses() {
		return new Object[][] { { true }, { false } };
	}

	@Test
	void aRecoveredLeaderLeadsItsRoleAgain() {
		SimulatedFleet fleet = new SimulatedFleet(12);
		fleet.run(3_000);
		Set<String> before = fleet.leaders(ROLE);
		fleet.down.addAll(before);
		fleet.run(5_000);
		assertNotEquals(fleet.leaders(ROLE), before);
		fleet.down.clear();
		fleet.run(3_000);
		assertEquals(fleet.leaders(ROLE), before);
	}

	@Test
	void recordsOfStoppedVmsDoNotPreventAnElection() {
		SimulatedFleet fleet = new SimulatedFleet(12);
		IntStream.range(0, 8).forEach((i) -> fleet.down.add("vm-" + i));
		fleet.run(6_000);
		assertEquals(fleet.leaders(ROLE).size(), 1);
		assertFalse(fleet.down.containsAll(fleet.leaders(ROLE)));
	}

	@Test
	void heartbeatsDoNotGrowWithTheFleet() {
		SimulatedFleet small = new SimulatedFleet(6);
		SimulatedFleet large = new SimulatedFleet(300);
		small.run(5_000);
		large.run(5_000);
		small.heartbeats = 0;
		large.heartbeats = 0;
		small.run(10_000);
		large.run(10_000);
		assertTrue(large.heartbeats / 300.0 <= small.heartbeats / 6.0 * 1.5,
				small.heartbeats / 6.0 + " and " + large.heartbeats / 300.0 + " heartbeats a VM");
	}

	@Test
	void aPausedVmDoesNotDetectFailuresOfOthers() {
		SimulatedFleet fleet = new SimulatedFleet(6);
		fleet.run(3_000);
		String other = fleet.tables.keySet()
			.stream()
			.filter((vm) -> !fleet.leaders(ROLE).contains(vm))
			.findFirst()
			.get();
		LeaderTable table = fleet.table(other);
		table.dueHeartbeats(fleet.nowMs + 5_000);
		assertEquals(table.detectFailures(fleet.nowMs + 5_000), List.of());
	}

	/**
	 * During a start, records are loaded one after the other, so early VMs lose their
	 * rank.
	 */
	@Test
	void aVmWithoutHeartbeatRequestsHasNotFailed() {
		SimulatedFleet fleet = new SimulatedFleet(12);
		LeaderTable table = fleet.table("vm-11");
		table.updateRecords(records(12).subList(6, 12));
		fleet.run(1_000);
		table.updateRecords(records(12));
		fleet.run(FORMER_ROLE_AND_TIMEOUT_MS);
		assertEquals(fleet.failed, Set.of());
		assertEquals(table.liveCount(), 2);
	}

	@Test
	void aClosedConnectionIsRetriedAtOnce() {
		SimulatedFleet fleet = new SimulatedFleet(6);
		fleet.run(3_000);
		String leader = fleet.leaders(ROLE).iterator().next();
		String other = fleet.tables.keySet().stream().filter((vm) -> !vm.equals(leader)).findFirst().get();
		assertTrue(fleet.table(other).onConnectionClosed(leader));
		assertNotEquals(fleet.table(other).leader(ROLE), leader);
		fleet.run(STEP_MS);
		assertEquals(fleet.table(other).leader(ROLE), leader);
	}

	@Test
	void aRestartIsReported() {
		LeaderTable table = new LeaderTable("vm-0");
		table.updateRecords(records(3));
		assertEquals(table.onReply("vm-1", 7, false, 0), LeaderTable.Change.FOUND);
		assertEquals(table.onReply("vm-1", 7, false, 10), LeaderTable.Change.NONE);
		assertEquals(table.onReply("vm-1", 8, false, 20), LeaderTable.Change.RESTARTED);
		assertEquals(table.onReply("unknown", 1, false, 30), LeaderTable.Change.NONE);
	}

	@Test(dataProvider = "seeds")
	void afterRandomFailuresLeadersAreLiveAndAllVmsAgree(long seed) {
		Random random = new Random(seed);
		SimulatedFleet fleet = new SimulatedFleet(4 + random.nextInt(20));
		for (int round = 0; round < 20; round++) {
			String vm = "vm-" + random.nextInt(fleet.tables.size());
			if (!fleet.down.remove(vm)) {
				fleet.down.add(vm);
			}
			fleet.run(STEP_MS + random.nextInt(3_000));
			fleet.checkLeaders();
		}
		fleet.down.clear();
		fleet.run(6_000);
		assertEquals(fleet.leaders(ROLE).size(), 1, "seed " + seed);
	}

	@DataProvider
	Object[][] seeds() {
		return IntStream.range(0, 200).mapToObj((i) -> new Object[] { (long) i }).toArray(Object[][]::new);
	}

	/**
	 * The tables of all VMs; replies arrive at once, unless a VM is down.
	 */
	private static final class SimulatedFleet {

		private final Map<String, LeaderTable> tables = new TreeMap<>();

		private final Set<String> down = new HashSet<>();

		private final Map<String, Long> lastReplyMs = new HashMap<>();

		private final Map<String, Long> lastStepMs = new HashMap<>();

		private long nowMs;

		private int heartbeats;

		private final Set<String> failed = new HashSet<>();

		private SimulatedFleet(int vms) {
			for (VmRecord record : records(vms)) {
				LeaderTable table = new LeaderTable(record.vm());
				table.updateRecords(records(vms));
				table.setWatchedRoles(List.of(ROLE));
				this.tables.put(record.vm(), table);
			}
		}

		private LeaderTable table(String vm) {
			return Optional.ofNullable(this.tables.get(vm)).orElseThrow();
		}

		private int countSelfLeaders() {
			return (int) this.tables.entrySet()
				.stream()
				.filter((each) -> each.getValue().leader(ROLE).equals(each.getKey()))
				.filter((each) -> each.getValue().isLeaderKnown(ROLE, this.nowMs))
				.count();
		}

		private void watch(LeaderRole role) {
			this.tables.forEach((vm, table) -> {
				if (table.record(vm).orElseThrow().failureDomain().equals(role.failureDomain().orElseThrow())) {
					table.setWatchedRoles(List.of(role));
				}
			});
		}

		private void run(long ms) {
			for (long end = this.nowMs + ms; this.nowMs < end; this.nowMs += STEP_MS) {
				for (String vm : new ArrayList<>(this.tables.keySet())) {
					if (!this.down.contains(vm)) {
						step(vm, table(vm));
					}
				}
			}
		}

		// A VM that was down counts as paused.
		private void step(String vm, LeaderTable table) {
			long pause = this.nowMs - this.lastStepMs.getOrDefault(vm, this.nowMs);
			this.lastStepMs.put(vm, this.nowMs);
			if (pause > STEP_MS) {
				this.lastReplyMs.replaceAll((pair, at) -> pair.startsWith(vm + ">") ? at + pause : at);
			}
			for (VmRecord requested : table.dueHeartbeats(this.nowMs)) {
				this.heartbeats++;
				if (!this.down.contains(requested.vm())) {
					table.onReply(requested.vm(), 1, table(requested.vm()).isDraining(), this.nowMs);
					this.lastReplyMs.put(vm + ">" + requested.vm(), this.nowMs);
				}
			}
			this.failed.addAll(table.detectFailures(this.nowMs));
		}

		private Set<String> leaders(LeaderRole role) {
			Set<String> leaders = new HashSet<>();
			this.tables.forEach((vm, table) -> {
				boolean eligible = role.isEligible(table.record(vm).orElseThrow());
				if (eligible && !this.down.contains(vm) && !table.isDraining()) {
					leaders.add(table.leader(role));
				}
			});
			return leaders;
		}

		private void checkLeaders() {
			this.tables.forEach((vm, table) -> {
				String leader = table.leader(ROLE);
				if (!this.down.contains(vm) && !leader.equals(vm)) {
					long age = this.nowMs - this.lastReplyMs.get(vm + ">" + leader);
					assertTrue(age <= PeerLiveness.STANDBY_TIMEOUT_MS + STEP_MS,
							leader + " replied " + age + " ms ago");
				}
			});
		}

	}

}
