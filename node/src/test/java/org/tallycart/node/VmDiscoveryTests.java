package org.tallycart.node;

import java.util.function.Consumer;

import org.tallycart.platform.standin.StoreStandin;
import org.testng.annotations.Test;

/**
 * Tests for VMs that start together and lose the store before they have read of each
 * other, on real sockets.
 */
public class VmDiscoveryTests extends AbstractNodeTests {

	private static final int VMS = 3;

	private static final String VM_RECORDS = "tallycart-vms";

	private static final String[] KINDS = { "config", "servers", VM_RECORDS };

	@Override
	int vms() {
		return 1;
	}

	// Replaces the store by one with the same objects at later revisions, which only VMs
	// that start from now on can reach.
	private void replaceStore(Consumer<StoreStandin> fault) {
		StoreStandin previous = this.store;
		this.store = StoreStandin.start(this.group);
		for (int copies = 0; copies <= VMS; copies++) {
			for (String kind : KINDS) {
				previous.names(kind).forEach((name) -> this.store.put(kind, name, previous.spec(kind, name)));
			}
		}
		fault.accept(previous);
	}

	private void vmsLearnOfEachOtherDespite(Consumer<StoreStandin> fault) {
		await(() -> metrics(this.nodes.get(0)).contains("\nvms_known 1.0"));
		for (int i = 1; i < VMS; i++) {
			replaceStore(fault);
			Node next = Node.start(settings("vm-" + i), 0).get();
			this.nodes.add(next);
			await(() -> ready(next));
		}
		fault.accept(this.store);
		this.nodes.forEach((node) -> await(() -> metrics(node).contains("\nvms_known " + VMS + ".0")));
	}

	// Guards against a VM that leads alone, since it has read of none that started after
	// it and is contacted by none.
	@Test
	void vmsThatReadOnlyOfEarlierOnesLearnOfTheOthersWithoutTheStore() {
		vmsLearnOfEachOtherDespite((previous) -> previous.setDown(true));
	}

	// Guards against a watch of another kind that counts as a read of the VMs' records.
	@Test
	void vmsLearnOfEachOtherIfOnlyTheListsOfTheirRecordsFail() {
		vmsLearnOfEachOtherDespite((previous) -> previous.refuse(VM_RECORDS));
	}

}
