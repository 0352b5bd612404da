package org.tallycart.node;

import org.tallycart.platform.standin.StoreStandin;
import org.testng.annotations.Test;

/**
 * Tests for VMs that start together and lose the store before they have read of each
 * other, on real sockets.
 */
public class VmDiscoveryTests extends AbstractNodeTests {

	private static final int VMS = 3;

	private static final String[] KINDS = { "config", "servers", "tallycart-vms" };

	@Override
	int vms() {
		return 1;
	}

	// Replaces the store by one with the same objects at later revisions, which only VMs
	// that start from now on can reach.
	private void replaceStore() {
		StoreStandin previous = this.store;
		this.store = StoreStandin.start(this.group);
		for (int copies = 0; copies <= VMS; copies++) {
			for (String kind : KINDS) {
				previous.names(kind).forEach((name) -> this.store.put(kind, name, previous.spec(kind, name)));
			}
		}
		previous.setDown(true);
	}

	// Guards against a VM that leads alone, since it has read of none that started after
	// it and is contacted by none.
	@Test
	void vmsThatReadOnlyOfEarlierOnesLearnOfTheOthersWithoutTheStore() {
		await(() -> metrics(this.nodes.get(0)).contains("\nvms_known 1.0"));
		for (int i = 1; i < VMS; i++) {
			replaceStore();
			Node next = Node.start(settings("vm-" + i), 0).get();
			this.nodes.add(next);
			await(() -> ready(next));
		}
		this.store.setDown(true);
		this.nodes.forEach((node) -> await(() -> metrics(node).contains("\nvms_known " + VMS + ".0")));
	}

}
