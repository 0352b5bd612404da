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
 * Tests for {@link LeaderTable}: several VMs' tables with an imagined network between
 * them.
 */
public class LeaderTableTests {

	private static final LeaderRole DUTY = LeaderRole.poolDispatcher("pool");

	private static final long STEP_MS = 100;

	private static final long FORMER_AND_SILENCE_MS = 14_000;

	private static List<VmRecord> records(int vms) {
		return IntStream.range(0, vms)
			.mapToObj((i) -> new VmRecord("vm-" + i, new Address("10.0.0.1", i + 1), "d" + i % 4, (i < 4) ? 1500 : 360))
			.toList();
	}

	@Test
	void allVmsAgreeOnOneOfTheLargest() {
		SimulatedFleet fleet = new SimulatedFleet(40);
		fleet.run(2_000);
		assertEquals(fleet.holders(DUTY).size(), 1);
		int number = Integer.parseInt(fleet.holders(DUTY).iterator().next().substring(3));
		assertTrue(number < 4, "a small VM holds a duty: " + number);
	}

	/** Four of the VMs are large, so three pools have one each, whatever their names. */
	@Test(dataProvider = "seeds")
	void poolsWithLoadDoNotMeetAtOneVmWhileItsEqualsHaveNone(long seed) {
		LeaderTable table = new LeaderTable("vm-39");
		table.updateRecords(records(40));
		List<LeaderRole> duties = IntStream.range(0, 3)
			.mapToObj((i) -> LeaderRole.poolDispatcher("pool" + seed + i))
			.toList();
		table.setWatchedRoles(duties);
		table.dueHeartbeats(0);
		records(4).forEach((record) -> table.onAnswer(record.vm(), 1, false, 10));
		assertEquals(duties.stream().map(table::leader).distinct().count(), 3);
	}

	/**
	 * All VMs start at once and have work for a pool before they have heard each other.
	 * If each did it by itself until then, the pool would have as many dispatchers.
	 */
	@Test
	void whileAllStartFewTakeThemselvesForTheHolder() {
		SimulatedFleet fleet = new SimulatedFleet(95);
		Set<String> unheard = new HashSet<>(fleet.tables.keySet());
		int dispatchers = 0;
		for (int step = 0; step < 6; step++) {
			fleet.down.addAll(unheard);
			fleet.tables.forEach((vm, table) -> table.dueHeartbeats(fleet.nowMs));
			dispatchers = Math.max(dispatchers, fleet.settledAtThemselves());
			fleet.down.clear();
			unheard.removeIf((vm) -> Integer.parseInt(vm.substring(3)) % 6 == fleet.nowMs / STEP_MS);
			fleet.run(STEP_MS);
		}
		assertEquals(dispatchers, 1, "VMs that dispatch at the same time");
	}

	@Test
	void aVmThatDoesNotAnswerDoesNotKeepTheHolderUnknown() {
		SimulatedFleet fleet = new SimulatedFleet(12);
		IntStream.range(0, 4).forEach((i) -> fleet.down.add("vm-" + i));
		fleet.run(3_000);
		fleet.tables
			.forEach((vm, table) -> assertTrue(fleet.down.contains(vm) || table.isLeaderKnown(DUTY, fleet.nowMs)));
	}

	@Test
	void aDutyOfAFailureDomainIsHeldThere() {
		SimulatedFleet fleet = new SimulatedFleet(12);
		LeaderRole duty = LeaderRole.domainRelay("d1");
		fleet.want(duty);
		fleet.run(2_000);
		int number = Integer.parseInt(fleet.holders(duty).iterator().next().substring(3));
		assertEquals(number % 4, 1);
	}

	@Test(dataProvider = "losses")
	void aLostHolderIsReplacedWithinASecond(boolean drains) {
		SimulatedFleet fleet = new SimulatedFleet(12);
		fleet.run(3_000);
		String first = fleet.holders(DUTY).iterator().next();
		if (drains) {
			fleet.table(first).drain();
		}
		else {
			fleet.down.add(first);
		}
		fleet.run(1_000);
		assertEquals(fleet.holders(DUTY).size(), 1);
		assertFalse(fleet.holders(DUTY).contains(first));
	}

	/** It is asked less often from then on, but what it still makes is not given up. */
	@Test
	void aHolderThatDrainsAndAnswersIsNotLost() {
		SimulatedFleet fleet = new SimulatedFleet(12);
		fleet.run(3_000);
		fleet.table(fleet.holders(DUTY).iterator().next()).drain();
		fleet.run(6_000);
		assertEquals(fleet.lost, Set.of());
	}

	@Test
	void aVmThatTellsThatItDrainsHoldsNothing() {
		SimulatedFleet fleet = new SimulatedFleet(12);
		fleet.run(3_000);
		String first = fleet.holders(DUTY).iterator().next();
		fleet.tables.forEach((vm, table) -> table.onDraining(first));
		fleet.table(first).drain();
		assertFalse(fleet.holders(DUTY).contains(first), "no beat was needed");
	}

	@DataProvider
	Object[][] losses() {
		return new Object[][] { { true }, { false } };
	}

	@Test
	void aHolderThatComesBackHoldsItsDutyAgain() {
		SimulatedFleet fleet = new SimulatedFleet(12);
		fleet.run(3_000);
		Set<String> before = fleet.holders(DUTY);
		fleet.down.addAll(before);
		fleet.run(5_000);
		assertNotEquals(fleet.holders(DUTY), before);
		fleet.down.clear();
		fleet.run(3_000);
		assertEquals(fleet.holders(DUTY), before);
	}

	@Test
	void recordsOfVmsThatAreGoneDoNotStandInTheWay() {
		SimulatedFleet fleet = new SimulatedFleet(12);
		IntStream.range(0, 8).forEach((i) -> fleet.down.add("vm-" + i));
		fleet.run(6_000);
		assertEquals(fleet.holders(DUTY).size(), 1);
		assertFalse(fleet.down.containsAll(fleet.holders(DUTY)));
	}

	@Test
	void questionsDoNotGrowWithTheFleet() {
		SimulatedFleet small = new SimulatedFleet(6);
		SimulatedFleet large = new SimulatedFleet(300);
		small.run(5_000);
		large.run(5_000);
		small.questions = 0;
		large.questions = 0;
		small.run(10_000);
		large.run(10_000);
		assertTrue(large.questions / 300.0 <= small.questions / 6.0 * 1.5,
				small.questions / 6.0 + " and " + large.questions / 300.0 + " questions a VM");
	}

	@Test
	void aVmThatStoodStillDoesNotTakeTheOthersForLost() {
		SimulatedFleet fleet = new SimulatedFleet(6);
		fleet.run(3_000);
		String other = fleet.tables.keySet()
			.stream()
			.filter((vm) -> !fleet.holders(DUTY).contains(vm))
			.findFirst()
			.get();
		LeaderTable table = fleet.table(other);
		table.dueHeartbeats(fleet.nowMs + 5_000);
		assertEquals(table.detectFailures(fleet.nowMs + 5_000), List.of());
	}

	/**
	 * At a start, VMs become known one after the other, and the first of them are soon
	 * behind others in rank.
	 */
	@Test
	void aVmThatIsNotAskedAnyMoreIsNotTakenForLost() {
		SimulatedFleet fleet = new SimulatedFleet(12);
		LeaderTable table = fleet.table("vm-11");
		table.updateRecords(records(12).subList(6, 12));
		fleet.run(1_000);
		table.updateRecords(records(12));
		fleet.run(FORMER_AND_SILENCE_MS);
		assertEquals(fleet.lost, Set.of());
		assertEquals(table.liveCount(), 2);
	}

	@Test
	void aClosedConnectionIsAskedAnewAtOnce() {
		SimulatedFleet fleet = new SimulatedFleet(6);
		fleet.run(3_000);
		String holder = fleet.holders(DUTY).iterator().next();
		String other = fleet.tables.keySet().stream().filter((vm) -> !vm.equals(holder)).findFirst().get();
		assertTrue(fleet.table(other).onConnectionClosed(holder));
		assertNotEquals(fleet.table(other).leader(DUTY), holder);
		fleet.run(STEP_MS);
		assertEquals(fleet.table(other).leader(DUTY), holder);
	}

	@Test
	void aRestartIsTold() {
		LeaderTable table = new LeaderTable("vm-0");
		table.updateRecords(records(3));
		assertEquals(table.onAnswer("vm-1", 7, false, 0), LeaderTable.Change.FOUND);
		assertEquals(table.onAnswer("vm-1", 7, false, 10), LeaderTable.Change.NONE);
		assertEquals(table.onAnswer("vm-1", 8, false, 20), LeaderTable.Change.RESTARTED);
		assertEquals(table.onAnswer("unknown", 1, false, 30), LeaderTable.Change.NONE);
	}

	@Test(dataProvider = "seeds")
	void whateverIsLostAHolderAnsweredLatelyAndAllAgreeWhenAllIsWell(long seed) {
		Random random = new Random(seed);
		SimulatedFleet fleet = new SimulatedFleet(4 + random.nextInt(20));
		for (int round = 0; round < 20; round++) {
			String vm = "vm-" + random.nextInt(fleet.tables.size());
			if (!fleet.down.remove(vm)) {
				fleet.down.add(vm);
			}
			fleet.run(STEP_MS + random.nextInt(3_000));
			fleet.checkHolders();
		}
		fleet.down.clear();
		fleet.run(6_000);
		assertEquals(fleet.holders(DUTY).size(), 1, "seed " + seed);
	}

	@DataProvider
	Object[][] seeds() {
		return IntStream.range(0, 200).mapToObj((i) -> new Object[] { (long) i }).toArray(Object[][]::new);
	}

	/**
	 * Tables of all VMs; what one asks another is answered at once, unless one is down.
	 */
	private static final class SimulatedFleet {

		private final Map<String, LeaderTable> tables = new TreeMap<>();

		private final Set<String> down = new HashSet<>();

		private final Map<String, Long> answered = new HashMap<>();

		private final Map<String, Long> stepped = new HashMap<>();

		private long nowMs;

		private int questions;

		private final Set<String> lost = new HashSet<>();

		private SimulatedFleet(int vms) {
			for (VmRecord record : records(vms)) {
				LeaderTable table = new LeaderTable(record.vm());
				table.updateRecords(records(vms));
				table.setWatchedRoles(List.of(DUTY));
				this.tables.put(record.vm(), table);
			}
		}

		private LeaderTable table(String vm) {
			return Optional.ofNullable(this.tables.get(vm)).orElseThrow();
		}

		private int settledAtThemselves() {
			return (int) this.tables.entrySet()
				.stream()
				.filter((each) -> each.getValue().leader(DUTY).equals(each.getKey()))
				.filter((each) -> each.getValue().isLeaderKnown(DUTY, this.nowMs))
				.count();
		}

		private void want(LeaderRole duty) {
			this.tables.forEach((vm, table) -> {
				if (table.record(vm).orElseThrow().failureDomain().equals(duty.failureDomain().orElseThrow())) {
					table.setWatchedRoles(List.of(duty));
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

		// A VM that was down stood still: its own time went on now.
		private void step(String vm, LeaderTable table) {
			long pause = this.nowMs - this.stepped.getOrDefault(vm, this.nowMs);
			this.stepped.put(vm, this.nowMs);
			if (pause > STEP_MS) {
				this.answered.replaceAll((pair, at) -> pair.startsWith(vm + ">") ? at + pause : at);
			}
			for (VmRecord asked : table.dueHeartbeats(this.nowMs)) {
				this.questions++;
				if (!this.down.contains(asked.vm())) {
					table.onAnswer(asked.vm(), 1, table(asked.vm()).isDraining(), this.nowMs);
					this.answered.put(vm + ">" + asked.vm(), this.nowMs);
				}
			}
			this.lost.addAll(table.detectFailures(this.nowMs));
		}

		private Set<String> holders(LeaderRole duty) {
			Set<String> holders = new HashSet<>();
			this.tables.forEach((vm, table) -> {
				boolean concerned = duty.mayBeHeldBy(table.record(vm).orElseThrow());
				if (concerned && !this.down.contains(vm) && !table.isDraining()) {
					holders.add(table.leader(duty));
				}
			});
			return holders;
		}

		private void checkHolders() {
			this.tables.forEach((vm, table) -> {
				String holder = table.leader(DUTY);
				if (!this.down.contains(vm) && !holder.equals(vm)) {
					long age = this.nowMs - this.answered.get(vm + ">" + holder);
					assertTrue(age <= PeerLiveness.SPARE_SILENCE_MS + STEP_MS, holder + " answered " + age + " ms ago");
				}
			});
		}

	}

}
