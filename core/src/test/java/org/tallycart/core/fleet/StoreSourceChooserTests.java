package org.tallycart.core.fleet;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link StoreSourceChooser}: whole fleets in virtual time, and what they ask
 * of the store.
 */
public class StoreSourceChooserTests {

	/** A change has to be in force by then, in milliseconds. */
	private static final long IN_FORCE_MS = 2_000;

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
	void oneVmReadsForAllWhateverTheSize(int vms, int domains) {
		StoreReaderSimulation fleet = settled(vms, domains, 1);
		assertEquals(fleet.reading(), 1);
		fleet.run(60_000);
		assertTrue(fleet.takeCalls() <= 150, "calls of the store in a minute do not grow with the fleet");
		fleet.change();
		assertTrue(fleet.msUntilAllKnow(IN_FORCE_MS) <= 3 * StoreReaderSimulation.STEP_MS);
	}

	/**
	 * All VMs start at once, the store's rate is not theirs alone, and their callers
	 * wait.
	 */
	@Test(dataProvider = "sizes")
	void aStartOfAllDoesNotSendAllToTheStore(int vms, int domains) {
		StoreReaderSimulation fleet = new StoreReaderSimulation(vms, domains, 1);
		fleet.run(8_000);
		checkStart(fleet, vms, domains);
		fleet.restartAll();
		assertTrue(fleet.msUntilAllKnow(IN_FORCE_MS) <= 1_000, "known after a loss of all");
		fleet.run(8_000);
		checkStart(fleet, vms, domains);
	}

	private static void checkStart(StoreReaderSimulation fleet, int vms, int domains) {
		double calls = fleet.takeCalls();
		double most = 2 * vms + 40 * domains;
		assertTrue(calls <= most, calls + " calls, for " + most + " at most");
		assertEquals(fleet.reading(), 1);
	}

	// What is lost, and how many VMs read the store while it stays so: the relays while
	// the reader is cut off, and the VMs of a failure domain whose relay is cut off too.
	@DataProvider
	Object[][] losses() {
		return new Object[][] { row((fleet) -> fleet.cut.add(fleet.reader()), 1 + DOMAINS),
				row((fleet) -> fleet.down.add(fleet.reader()), 1), row((fleet) -> fleet.down.add(fleet.relay()), 1),
				row((fleet) -> fleet.cut.add(fleet.relay()), 1),
				row((fleet) -> fleet.down.addAll(List.of(fleet.reader(), fleet.relay())), 1),
				row((fleet) -> fleet.cut.addAll(List.of(fleet.reader(), fleet.relay())), 1 + DOMAINS + VMS / DOMAINS) };
	}

	private static Object[] row(Consumer<StoreReaderSimulation> fault, int mostReading) {
		return new Object[] { fault, mostReading };
	}

	@Test(dataProvider = "losses")
	void aChangeIsInForceInTimeWhoeverIsLostWithoutANotice(Consumer<StoreReaderSimulation> fault, int mostReading) {
		StoreReaderSimulation fleet = settled(VMS, DOMAINS, 1);
		fault.accept(fleet);
		fleet.change();
		long ms = fleet.msUntilAllKnow(10_000);
		assertTrue(ms <= IN_FORCE_MS, ms + " ms");
		fleet.run(10_000);
		assertTrue(fleet.reading() <= mostReading, fleet.reading() + " VMs read the store");
	}

	@Test
	void aLostReaderDoesNotSendAllToTheStore() {
		StoreReaderSimulation fleet = settled(VMS, DOMAINS, 1);
		fleet.down.add(fleet.reader());
		fleet.run(5_000);
		double calls = fleet.takeCalls();
		assertTrue(calls <= 100, calls + " calls");
	}

	/**
	 * Pattern: the store is away for six seconds and then answers again, with a change.
	 */
	@Test(dataProvider = "sizes")
	void anOutageSendsNobodyButTheReaderToTheStore(int vms, int domains) {
		StoreReaderSimulation fleet = settled(vms, domains, 1);
		fleet.cut.addAll(fleet.vms.keySet());
		fleet.run(6_000);
		double calls = fleet.takeCalls();
		double most = 20 + 2 * vms;
		assertTrue(calls <= most, calls + " calls, for " + most + " at most");
		fleet.change();
		fleet.cut.clear();
		assertTrue(fleet.msUntilAllKnow(IN_FORCE_MS) <= 1_000, "after its return");
		fleet.run(5_000);
		assertEquals(fleet.reading(), 1);
		double after = fleet.takeCalls();
		assertTrue(after <= 60 + 10 * domains, after + " calls after its return");
	}

	/** Pattern: the reader is lost while the store is away. */
	@Test
	void aReaderThatIsLostInAnOutageIsReplacedWhenTheStoreIsBack() {
		StoreReaderSimulation fleet = settled(VMS, DOMAINS, 1);
		fleet.cut.addAll(fleet.vms.keySet());
		fleet.run(2_000);
		fleet.down.add(fleet.reader());
		fleet.run(2_000);
		fleet.change();
		fleet.cut.clear();
		assertTrue(fleet.msUntilAllKnow(IN_FORCE_MS) <= IN_FORCE_MS);
	}

	/**
	 * As in a rolling restart, in which each VM stops before its callers have noticed.
	 */
	@Test
	void aReaderThatComesBackDoesNotSendTheOthersToTheStore() {
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

	/** The store turns some VMs away and serves the others, and changes go on. */
	@Test(dataProvider = "seeds")
	void whateverIsLostAllKnowInTheEndAndOneReads(long seed) {
		Random random = new Random(seed);
		StoreReaderSimulation fleet = settled(4 + random.nextInt(40), 1 + random.nextInt(4), seed);
		for (int round = 0; round < 10; round++) {
			toggle(fleet.down, "vm-" + random.nextInt(fleet.vms.size()));
			toggle(fleet.cut, "vm-" + random.nextInt(fleet.vms.size()));
			fleet.run(random.nextInt(3_000));
			fleet.change();
		}
		fleet.cut.clear();
		fleet.down.clear();
		assertTrue(fleet.msUntilAllKnow(6_000) <= 6_000, "seed " + seed);
		fleet.run(10_000);
		assertEquals(fleet.reading(), 1, "seed " + seed);
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
