package org.tallycart.core.fleet;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for the part of a shared rate that a VM grants by which others it hears.
 */
public class PeerReachabilityTests {

	private static final long LONG_UP_MS = 100_000;

	private static Set<String> vms(int count) {
		return IntStream.range(0, count).mapToObj((i) -> "vm-" + i).collect(Collectors.toSet());
	}

	private static PeerReachability hears(int count, long nowMs) {
		PeerReachability heard = new PeerReachability(0);
		vms(count).forEach((vm) -> heard.onMessage(vm, nowMs));
		return heard;
	}

	@Test
	void whoeverHearsAllGrantsAll() {
		assertEquals(hears(5, LONG_UP_MS).shareOfRate(Set.of(), vms(6), LONG_UP_MS), 1.0);
	}

	/** Pattern: a VM is alone since the others were taken away long ago. */
	@Test
	void vmsThatEndedLongAgoDoNotCount() {
		assertEquals(hears(5, 0).shareOfRate(Set.of(), vms(6), LONG_UP_MS), 1.0);
	}

	/** Pattern: a VM is cut off from all others, or all others ended at once. */
	@Test
	void whoeverHasLostMostOfTheOthersGrantsAThirdAtMost() {
		PeerReachability heard = hears(5, LONG_UP_MS);
		long laterMs = LONG_UP_MS + 2_000;
		assertEquals(heard.shareOfRate(Set.of(), vms(6), laterMs), 1.0 / 3, 1e-9);
		assertEquals(heard.shareOfRate(Set.of("vm-1"), vms(6), laterMs), 1.0 / 9, 1e-9);
		heard.onMessage("vm-1", laterMs);
		heard.onMessage("vm-2", laterMs);
		heard.onMessage("vm-3", laterMs);
		assertEquals(heard.shareOfRate(Set.of(), vms(6), laterMs), 1.0);
	}

	/** Pattern: whoever granted before is lost; who else is lost is not known yet. */
	@Test
	void afterALossOnlyWhatIsHeardSinceCounts() {
		PeerReachability heard = hears(5, LONG_UP_MS);
		heard.onPeerLost(LONG_UP_MS + 10);
		assertEquals(heard.shareOfRate(Set.of("vm-0"), vms(6), LONG_UP_MS + 20), 1.0 / 9, 1e-9);
		vms(5).stream().skip(1).forEach((vm) -> heard.onMessage(vm, LONG_UP_MS + 200));
		assertEquals(heard.shareOfRate(Set.of("vm-0"), vms(6), LONG_UP_MS + 200), 1.0 / 3, 1e-9,
				"the one before may be heard by others that this one hears, too");
	}

	@Test
	void whoeverLeavesIsNotMissed() {
		PeerReachability heard = hears(5, LONG_UP_MS);
		vms(5).forEach(heard::onDraining);
		assertEquals(heard.shareOfRate(Set.of(), vms(6), LONG_UP_MS + 5_000), 1.0);
	}

	/** Pattern: a VM starts, and has heard nobody yet. */
	@Test
	void aVmThatHasJustStartedCountsAllThatAreRecorded() {
		PeerReachability heard = new PeerReachability(0);
		assertEquals(heard.shareOfRate(Set.of(), vms(6), 1_000), 1.0 / 3, 1e-9);
		assertEquals(heard.shareOfRate(Set.of(), vms(1), 1_000), 1.0);
		assertEquals(heard.shareOfRate(Set.of(), Set.of(), 1_000), 1.0);
	}

}
