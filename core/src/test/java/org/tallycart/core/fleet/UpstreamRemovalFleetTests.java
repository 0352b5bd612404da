package org.tallycart.core.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for upstreams whose entries vanish while VMs change their source of the store's
 * contents: simulated fleets in virtual time.
 */
public class UpstreamRemovalFleetTests {

	/** Time from its removal until an upstream may get no more requests. */
	private static final long DRAIN_MS = 2_000;

	private static final int SEEDS = 20;

	@DataProvider
	static Object[][] fleets() {
		return Stream.of(new int[] { 6, 4 }, new int[] { 8, 4 }, new int[] { 60, 3 }, new int[] { 300, 11 })
			.flatMap((size) -> IntStream.range(0, (size[0] > 100) ? 3 : SEEDS)
				.mapToObj((seed) -> new Object[] { size[0], size[1], (long) seed }))
			.toArray(Object[][]::new);
	}

	private static StoreReaderSimulation settled(int vms, int domains, long seed) {
		StoreReaderSimulation fleet = new StoreReaderSimulation(vms, domains, seed);
		fleet.run(8_000);
		assertEquals(fleet.sendingVms(), fleet.vms.keySet());
		return fleet;
	}

	// Guards against requests to an upstream that has left while the VM that read the
	// store, and others, lose power.
	@Test(dataProvider = "fleets")
	void aRemovedUpstreamIsDroppedInTimeWhileHalfOfTheVmsAreLost(int vms, int domains, long seed) {
		assertDroppedInTime(vms, domains, seed, StoreReaderSimulation::removeUpstream);
	}

	// Guards against the same if the upstream states in its entry that it leaves.
	@Test(dataProvider = "fleets")
	void aDrainingUpstreamIsDroppedInTimeWhileHalfOfTheVmsAreLost(int vms, int domains, long seed) {
		assertDroppedInTime(vms, domains, seed, StoreReaderSimulation::drainUpstream);
	}

	private static void assertDroppedInTime(int vms, int domains, long seed, Consumer<StoreReaderSimulation> leave) {
		StoreReaderSimulation fleet = settled(vms, domains, seed);
		Random random = new Random(seed);
		List<String> names = new ArrayList<>(fleet.vms.keySet());
		names.remove(fleet.reader());
		Collections.shuffle(names, random);
		fleet.down.add(fleet.reader());
		fleet.down.addAll(names.subList(0, vms / 2 - 1));
		fleet.run(random.nextInt(1_500));
		leave.accept(fleet);
		fleet.run(DRAIN_MS);
		assertEquals(fleet.sendingVms(), Set.of());
	}

	// Guards against a service without upstreams, since their entries expired in an
	// outage in which the VM that read the store was lost.
	@Test(dataProvider = "fleets")
	void anUpstreamWhoseEntryExpiredInAnOutageStaysInUse(int vms, int domains, long seed) {
		StoreReaderSimulation fleet = settled(vms, domains, seed);
		Random random = new Random(seed);
		fleet.storeUnreachable.addAll(fleet.vms.keySet());
		fleet.run(random.nextInt(3_600));
		fleet.down.add(fleet.reader());
		fleet.run(3_600);
		fleet.removeUpstream();
		fleet.storeUnreachable.clear();
		long backMs = 0;
		while (backMs < DRAIN_MS) {
			fleet.run(StoreReaderSimulation.STEP_MS);
			backMs += StoreReaderSimulation.STEP_MS;
			assertEquals(fleet.sendingVms().size(), vms - 1, backMs + " ms after the outage");
		}
		fleet.restoreUpstream();
		fleet.run(5_000);
		assertEquals(fleet.sendingVms().size(), vms - 1);
	}

}
