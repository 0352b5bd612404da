package org.tallycart.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Tests for workspace limits over several VMs.
 */
public class ShareAllocationTests {

	private static final double LIMIT = 100;

	private static final int VMS = 8;

	/** Answers are lost, late, and homes move; what all VMs let in is counted. */
	private static int admitted(long seed, double lossShare, boolean moveHome, long durationMs) {
		Random random = new Random(seed);
		List<ShareLimiter> holders = new ArrayList<>();
		for (int i = 0; i < VMS; i++) {
			holders.add(ShareLimiter.create(0));
		}
		ShareAllocator home = ShareAllocator.create(-10_000);
		int admitted = 0;
		for (long now = 0; now < durationMs; now += 5) {
			if (moveHome && now % 7_000 == 0 && now > 0) {
				home = ShareAllocator.create(now);
			}
			int hot = (int) (now / 4_000) % VMS;
			for (int vm = 0; vm < VMS; vm++) {
				ShareLimiter holder = holders.get(vm);
				boolean arrives = random.nextDouble() < ((vm == hot) ? 1 : 0.05);
				admitted += (arrives && holder.tryAcquire(LIMIT, VMS, now)) ? 1 : 0;
				if (now % 500 == vm * 5) {
					double rate = home.allocate(holder.createRequest("w", "vm" + vm, now), LIMIT, now + 2);
					if (random.nextDouble() >= lossShare) {
						holder.onGrant(rate, now);
					}
				}
			}
		}
		return admitted;
	}

	@Test
	void allVmsTogetherStayWithinTheLimitWhateverIsLost() {
		long seconds = 60;
		double burst = LIMIT * 0.5 + VMS;
		for (long seed = 0; seed < 200; seed++) {
			int total = admitted(seed, (seed % 4) * 0.25, seed % 2 == 0, seconds * 1_000);
			assertTrue(total <= LIMIT * seconds + burst, "seed " + seed + " let in " + total);
		}
	}

	@Test
	void sharesFollowDemand() {
		int total = admitted(1, 0, false, 60_000);
		assertTrue(total >= LIMIT * 60 * 0.6, "one hot VM after the other uses most of the limit: " + total);
	}

	@Test
	void aVmThatHearsNothingKeepsASafeShare() {
		int total = admitted(1, 1, false, 60_000);
		double safe = LIMIT * ShareAllocator.SAFE_PART * 60;
		assertTrue(total <= safe + VMS, "let in " + total);
		assertTrue(total >= safe * 0.5, "let in " + total);
	}

}
