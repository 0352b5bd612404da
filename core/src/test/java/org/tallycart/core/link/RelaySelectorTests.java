package org.tallycart.core.link;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for the selection of the VMs that make calls for another, in virtual time.
 */
public class RelaySelectorTests {

	private static final Set<String> VMS = Set.of("vm-0", "vm-1", "vm-2", "vm-3", "vm-4", "vm-5");

	private RelaySelector selector = new RelaySelector("vm-0");

	@BeforeMethod
	void begin() {
		this.selector = new RelaySelector("vm-0");
	}

	private Optional<String> select() {
		return this.selector.select((vm) -> 0);
	}

	@Test
	void noVmIsUsedBeforeItAccepts() {
		List<String> asked = this.selector.dueOffers(VMS, 0);
		assertEquals(asked.size(), 3);
		assertFalse(asked.contains("vm-0"));
		assertEquals(select(), Optional.empty());
		this.selector.onAnswer(asked.get(0), true, 1);
		assertEquals(select(), Optional.of(asked.get(0)));
	}

	// Guards against a failure domain without links whose VMs rank each other first: a VM
	// that declines is replaced at the next round.
	@Test
	void vmsThatDeclineAreReplaced() {
		Set<String> accepting = new HashSet<>();
		for (long nowMs = 0; nowMs <= 600; nowMs += 100) {
			for (String vm : this.selector.dueOffers(VMS, nowMs)) {
				boolean accepts = vm.equals("vm-5");
				this.selector.onAnswer(vm, accepts, nowMs);
				if (accepts) {
					accepting.add(vm);
				}
			}
		}
		assertEquals(accepting, Set.of("vm-5"));
		assertEquals(select(), Optional.of("vm-5"));
	}

	// Guards against calls that are sent to a VM that has failed or frozen.
	@Test
	void aVmThatFallsSilentIsNotUsed() {
		String relay = this.selector.dueOffers(VMS, 0).get(0);
		this.selector.onAnswer(relay, true, 0);
		assertFalse(this.selector.detectSilent(RelaySelector.SILENCE_MS - 1).contains(relay));
		assertTrue(this.selector.detectSilent(RelaySelector.SILENCE_MS).contains(relay));
		assertEquals(select(), Optional.empty());
	}

	@Test
	void theVmWithTheFewestCallsIsSelected() {
		Map<String, Integer> calls = new HashMap<>();
		this.selector.dueOffers(VMS, 0).forEach((vm) -> this.selector.onAnswer(vm, true, 0));
		for (int i = 0; i < 30; i++) {
			calls.merge(this.selector.select((vm) -> calls.getOrDefault(vm, 0)).orElseThrow(), 1, Integer::sum);
		}
		assertEquals(Set.copyOf(calls.values()), Set.of(10));
	}

}
