package org.tallycart.core.fleet;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for {@link PeerReachability}: the share of a common rate that a VM grants.
 */
public class PeerReachabilityTests {

	private static final long LONG_UP_MS = 100_000;

	private static Set<String> vms(int count) {
		return IntStream.range(0, count).mapToObj((i) -> "vm-" + i).collect(Collectors.toSet());
	}

	private static PeerReachability withMessagesFrom(int count, long nowMs) {
		PeerReachability reachability = new PeerReachability(0);
		vms(count).forEach((vm) -> reachability.onMessage(vm, nowMs));
		return reachability;
	}

	@Test
	void aVmThatReachesAllOthersGrantsTheFullRate() {
		assertEquals(withMessagesFrom(5, LONG_UP_MS).shareOfRate(Set.of(), vms(6), LONG_UP_MS), 1.0);
	}

	/** A VM is alone after the others were removed long ago. */
	@Test
	void vmsThatStoppedLongAgoDoNotCount() {
		assertEquals(withMessagesFrom(5, 0).shareOfRate(Set.of(), vms(6), LONG_UP_MS), 1.0);
	}

	/** A VM is partitioned from all others, or all others stop at once. */
	@Test
	void aVmWithoutAMajorityGrantsAtMostAThird() {
		PeerReachability reachability = withMessagesFrom(5, LONG_UP_MS);
		long laterMs = LONG_UP_MS + 2_000;
		assertEquals(reachability.shareOfRate(Set.of(), vms(6), laterMs), 1.0 / 3, 1e-9);
		assertEquals(reachability.shareOfRate(Set.of("vm-1"), vms(6), laterMs), 1.0 / 9, 1e-9);
		reachability.onMessage("vm-1", laterMs);
		reachability.onMessage("vm-2", laterMs);
		reachability.onMessage("vm-3", laterMs);
		assertEquals(reachability.shareOfRate(Set.of(), vms(6), laterMs), 1.0);
	}

	/** The previous leader fails, and other failures are not detected yet. */
	@Test
	void afterAFailureOnlyLaterMessagesCount() {
		PeerReachability reachability = withMessagesFrom(5, LONG_UP_MS);
		reachability.onPeerLost(LONG_UP_MS + 10);
		assertEquals(reachability.shareOfRate(Set.of("vm-0"), vms(6), LONG_UP_MS + 20), 1.0 / 9, 1e-9);
		vms(5).stream().skip(1).forEach((vm) -> reachability.onMessage(vm, LONG_UP_MS + 200));
		assertEquals(reachability.shareOfRate(Set.of("vm-0"), vms(6), LONG_UP_MS + 200), 1.0 / 3, 1e-9,
				"the one before may still be reachable by others");
	}

	@Test
	void drainingVmsDoNotCount() {
		PeerReachability reachability = withMessagesFrom(5, LONG_UP_MS);
		vms(5).forEach(reachability::onDraining);
		assertEquals(reachability.shareOfRate(Set.of(), vms(6), LONG_UP_MS + 5_000), 1.0);
	}

	/** A VM starts and has received no message yet. */
	@Test
	void aVmThatHasJustStartedCountsAllRecordedVms() {
		PeerReachability reachability = new PeerReachability(0);
		assertEquals(reachability.shareOfRate(Set.of(), vms(6), 1_000), 1.0 / 3, 1e-9);
		assertEquals(reachability.shareOfRate(Set.of(), vms(1), 1_000), 1.0);
		assertEquals(reachability.shareOfRate(Set.of(), Set.of(), 1_000), 1.0);
	}

}
