package org.tallycart.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.tallycart.core.claim.SlotMap;
import org.tallycart.core.ini.Address;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link PeerTable}, {@link SlotPlan}, {@link RendezvousHash},
 * {@link WatcherSelection} and {@link VmList}.
 */
public class MembershipTests {

	private static VmList list(String... ids) {
		List<Vm> vms = new ArrayList<>();
		for (String id : ids) {
			vms.add(new Vm(id, Vm.ROLE_ENTRY, "lac", new Address("10.0.0.1", 1), VmState.LIVE));
		}
		return new VmList(1, vms);
	}

	private static final SlotMap OWNED = SlotMap.empty(4).assign(List.of(0, 1, 2, 3), "vm-1", 7, false);

	@Test
	void updateFromAnEarlierIncarnationIsDropped() {
		PeerTable table = PeerTable.create();
		assertTrue(table.update(new Peer("vm-1", 5, false, 100)));
		assertFalse(table.update(new Peer("vm-1", 4, false, 200)));
		assertTrue(table.update(new Peer("vm-1", 5, true, 300)));
		assertTrue(table.update(new Peer("vm-1", 5, false, 400)));
		assertTrue(table.peer("vm-1").draining(), "a drain is final for an incarnation");
		assertEquals(table.active(400, 1_000), List.of());
	}

	@DataProvider
	Object[][] owners() {
		return new Object[][] { { list("vm-1", "vm-2"), 0 }, { list("vm-2"), 4 }, { VmList.EMPTY, 0 } };
	}

	@Test(dataProvider = "owners")
	void slotsAreTakenOverOnlyFromTerminatedVms(VmList list, int expected) {
		assertEquals(SlotPlan.takeovers(OWNED, "vm-2", 1, list, List.of("vm-2")).size(), expected);
	}

	@Test
	void restartedProcessTakesOverItsOwnSlots() {
		assertEquals(SlotPlan.takeovers(OWNED, "vm-1", 8, list("vm-1"), List.of("vm-1", "vm-2")).size(), 4);
		assertEquals(SlotPlan.takeovers(OWNED, "vm-1", 7, list("vm-1"), List.of("vm-1", "vm-2")).size(), 0);
	}

	@Test
	void drainingOwnerHandsOverAllSlots() {
		int planned = SlotPlan.handovers(OWNED, "vm-1", 7, List.of("vm-2", "vm-3"))
			.values()
			.stream()
			.mapToInt(List::size)
			.sum();
		assertEquals(planned, 4);
		assertTrue(SlotPlan.handovers(OWNED, "vm-1", 7, List.of()).isEmpty());
	}

	@Test
	void rendezvousHashingIsBalancedAndMovesOnlySubjectsOfRemovedVms() {
		List<String> vms = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			vms.add("vm-" + i);
		}
		Map<String, Integer> counts = new HashMap<>();
		int moved = 0;
		for (int i = 0; i < 8_000; i++) {
			String before = RendezvousHash.first("s" + i, vms).orElseThrow();
			counts.merge(before, 1, Integer::sum);
			String after = RendezvousHash.first("s" + i, vms.subList(0, 7)).orElseThrow();
			moved += (!after.equals(before) && !before.equals("vm-7")) ? 1 : 0;
		}
		assertEquals(moved, 0, "only the subjects of a VM that goes are moved");
		assertTrue(counts.values().stream().allMatch((count) -> count > 850 && count < 1_150), counts.toString());
	}

	@Test
	void eachFailureDomainHasTwoWatchers() {
		List<Vm> vms = new ArrayList<>();
		for (int i = 0; i < 40; i++) {
			vms.add(new Vm("vm-" + i, Vm.ROLE_ENTRY, "d" + i % 4, new Address("10.0.0.1", 1), VmState.LIVE));
		}
		VmList all = new VmList(1, vms);
		long watchers = vms.stream().filter((vm) -> WatcherSelection.isWatcher(vm.id(), vm.domain(), all)).count();
		assertEquals(watchers, 4 * WatcherSelection.PER_DOMAIN);
	}

	@Test
	void vmListEncodingRoundTrips() {
		VmList written = list("vm-1", "vm-2");
		assertEquals(VmList.decode(1, written.encode()).get(), written);
		assertTrue(VmList.decode(1, "vm-1 entry lac").isLeft());
	}

}
