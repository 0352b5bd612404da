package org.tallycart.core.fleet;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.tallycart.core.ini.Address;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link StoreSourceChooser}: simulated fleets, and the number of their store
 * calls.
 */
public class StoreSourceChooserTests {

	/** Maximum time until a change is active at all VMs, in milliseconds. */
	private static final long MAX_ACTIVATION_MS = 2_000;

	private static final int VMS = 95;

	private static final int DOMAINS = 6;

	private static StoreReaderSimulation settled(int vms, int domains, long seed) {
		StoreReaderSimulation fleet = new StoreReaderSimulation(vms, domains, seed);
		fleet.run(8_000);
		fleet.takeCalls();
		return fleet;
	}

	@DataProvider
	Object[][] sizes() {
		return new Object[][] { { 1, 1 }, { 2, 2 }, { 6, 3 }, { 8, 4 }, { 61, 3 }, { VMS, DOMAINS }, { 300, 11 } };
	}

	@Test(dataProvider = "sizes")
	void oneVmReadsForAllAtAnyFleetSize(int vms, int domains) {
		StoreReaderSimulation fleet = settled(vms, domains, 1);
		assertEquals(fleet.readerCount(), 1);
		fleet.run(60_000);
		assertTrue(fleet.takeCalls() <= 150, "calls of the store in a minute do not grow with the fleet");
		fleet.change();
		assertTrue(fleet.msUntilAllUpdated(MAX_ACTIVATION_MS) <= 3 * StoreReaderSimulation.STEP_MS);
	}

	/**
	 * All VMs start at once while callers wait and other clients share the store's rate
	 * limit.
	 */
	@Test(dataProvider = "sizes")
	void aStartOfAllVmsLimitsStoreCalls(int vms, int domains) {
		StoreReaderSimulation fleet = new StoreReaderSimulation(vms, domains, 1);
		fleet.run(8_000);
		checkStart(fleet, vms, domains);
		fleet.restartAll();
		assertTrue(fleet.msUntilAllUpdated(MAX_ACTIVATION_MS) <= 1_000, "known after a loss of all");
		fleet.run(8_000);
		checkStart(fleet, vms, domains);
	}

	private static void checkStart(StoreReaderSimulation fleet, int vms, int domains) {
		double calls = fleet.takeCalls();
		double maxCalls = 2 * vms + 40 * domains;
		assertTrue(calls <= maxCalls, calls + " calls, for " + maxCalls + " at most");
		assertEquals(fleet.readerCount(), 1);
	}

	// The failure, and the maximum number of store readers while it lasts: the relays
	// read if the reader has no store, and all VMs of a failure domain whose relay has
	// none either.
	@DataProvider
	Object[][] failures() {
		return new Object[][] { row((fleet) -> fleet.storeUnreachable.add(fleet.reader()), 1 + DOMAINS),
				row((fleet) -> fleet.down.add(fleet.reader()), 1), row((fleet) -> fleet.down.add(fleet.relay()), 1),
				row((fleet) -> fleet.storeUnreachable.add(fleet.relay()), 1),
				row((fleet) -> fleet.down.addAll(List.of(fleet.reader(), fleet.relay())), 1),
				row((fleet) -> fleet.storeUnreachable.addAll(List.of(fleet.reader(), fleet.relay())),
						1 + DOMAINS + VMS / DOMAINS) };
	}

	private static Object[] row(Consumer<StoreReaderSimulation> fault, int maxReaders) {
		return new Object[] { fault, maxReaders };
	}

	@Test(dataProvider = "failures")
	void aChangeIsActiveInTimeAfterAFailureWithoutNotice(Consumer<StoreReaderSimulation> fault, int maxReaders) {
		StoreReaderSimulation fleet = settled(VMS, DOMAINS, 1);
		fault.accept(fleet);
		fleet.change();
		long ms = fleet.msUntilAllUpdated(10_000);
		assertTrue(ms <= MAX_ACTIVATION_MS, ms + " ms");
		fleet.run(10_000);
		assertTrue(fleet.readerCount() <= maxReaders, fleet.readerCount() + " VMs read the store");
	}

	@Test
	void aFailedReaderLimitsStoreCalls() {
		StoreReaderSimulation fleet = settled(VMS, DOMAINS, 1);
		fleet.down.add(fleet.reader());
		fleet.run(5_000);
		double calls = fleet.takeCalls();
		assertTrue(calls <= 100, calls + " calls");
	}

	/**
	 * The store is unavailable for six seconds and then returns with a change.
	 */
	@Test(dataProvider = "sizes")
	void anOutageLimitsStoreCalls(int vms, int domains) {
		StoreReaderSimulation fleet = settled(vms, domains, 1);
		fleet.storeUnreachable.addAll(fleet.vms.keySet());
		fleet.run(6_000);
		double calls = fleet.takeCalls();
		double maxCalls = 20 + 2 * vms;
		assertTrue(calls <= maxCalls, calls + " calls, for " + maxCalls + " at most");
		fleet.change();
		fleet.storeUnreachable.clear();
		assertTrue(fleet.msUntilAllUpdated(MAX_ACTIVATION_MS) <= 1_000, "after its return");
		fleet.run(5_000);
		assertEquals(fleet.readerCount(), 1);
		double after = fleet.takeCalls();
		assertTrue(after <= 60 + 10 * domains, after + " calls after its return");
	}

	// Guards against a VM that stood still, and takes replies that it had received before
	// for new ones, and its old list for up to date.
	@Test
	void repliesThatArrivedInAPauseSayNothingOfTheTimeAfterIt() {
		StoreSourceChooser chooser = new StoreSourceChooser("vm-1", "d");
		LeaderTable table = new LeaderTable("vm-1");
		table.updateRecords(List.of(new VmRecord("vm-0", new Address("10.0.0.1", 1), "d", 900),
				new VmRecord("vm-1", new Address("10.0.0.1", 2), "d", 300)));
		table.setWatchedRoles(chooser.watchedRoles(table, 0));
		table.dueHeartbeats(0);
		table.onReply("vm-0", 1, false, 10);
		assertTrue(chooser.onReply("vm-0", true, 100, 10));
		assertEquals(chooser.review(table, true, true, 20), StoreSourceChooser.Action.SUBSCRIBE);
		assertFalse(chooser.onReply("vm-0", true, 100, 5_000));
		assertEquals(chooser.storeAgeMs(5_000), 5_090);
		chooser.review(table, true, true, 5_100);
		assertTrue(chooser.onReply("vm-0", true, 100, 5_200));
		assertEquals(chooser.storeAgeMs(5_200), 100);
	}

	/** The reader fails during an outage of the store. */
	@Test
	void aReaderThatFailsInAnOutageIsReplacedAfterIt() {
		StoreReaderSimulation fleet = settled(VMS, DOMAINS, 1);
		fleet.storeUnreachable.addAll(fleet.vms.keySet());
		fleet.run(2_000);
		fleet.down.add(fleet.reader());
		fleet.run(2_000);
		fleet.change();
		fleet.storeUnreachable.clear();
		assertTrue(fleet.msUntilAllUpdated(MAX_ACTIVATION_MS) <= MAX_ACTIVATION_MS);
	}

	/**
	 * In a rolling restart, each VM stops before its callers have noticed.
	 */
	@Test
	void aRecoveredReaderLimitsStoreCalls() {
		StoreReaderSimulation fleet = settled(VMS, DOMAINS, 1);
		String reader = fleet.reader();
		fleet.down.add(reader);
		fleet.run(5_000);
		fleet.takeCalls();
		fleet.down.remove(reader);
		fleet.restart(reader);
		fleet.run(5_000);
		double calls = fleet.takeCalls();
		assertEquals(fleet.reader(), reader);
		assertTrue(calls <= 30, calls + " calls");
	}

	/** The store rejects some VMs and serves the others, while changes go on. */
	@Test(dataProvider = "seeds")
	void afterRandomFailuresAllAreUpdatedAndOneVmReads(long seed) {
		Random random = new Random(seed);
		StoreReaderSimulation fleet = settled(4 + random.nextInt(40), 1 + random.nextInt(4), seed);
		for (int round = 0; round < 10; round++) {
			toggle(fleet.down, "vm-" + random.nextInt(fleet.vms.size()));
			toggle(fleet.storeUnreachable, "vm-" + random.nextInt(fleet.vms.size()));
			fleet.run(random.nextInt(3_000));
			fleet.change();
		}
		fleet.storeUnreachable.clear();
		fleet.down.clear();
		assertTrue(fleet.msUntilAllUpdated(6_000) <= 6_000, "seed " + seed);
		fleet.run(10_000);
		assertEquals(fleet.readerCount(), 1, "seed " + seed);
	}

	private static void toggle(Set<String> set, String vm) {
		if (!set.remove(vm)) {
			set.add(vm);
		}
	}

	@DataProvider
	Object[][] seeds() {
		return IntStream.range(0, 60).mapToObj((i) -> new Object[] { (long) i }).toArray(Object[][]::new);
	}

}
