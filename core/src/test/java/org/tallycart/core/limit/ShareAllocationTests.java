package org.tallycart.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link ShareLimiter} and {@link ShareAllocator}: workspace limits over
 * several VMs.
 */
public class ShareAllocationTests {

	private static final double LIMIT = 100;

	private static final int VMS = 8;

	/**
	 * Simulate lost and late replies and changes of the allocator, and return the number
	 * of requests that all VMs admit.
	 */
	private static int countAdmitted(long seed, double lossRate, boolean replaceAllocator, long durationMs) {
		Random random = new Random(seed);
		List<ShareLimiter> limiters = new ArrayList<>();
		for (int i = 0; i < VMS; i++) {
			limiters.add(ShareLimiter.create(0));
		}
		ShareAllocator allocator = ShareAllocator.create(-10_000);
		int admitted = 0;
		for (long now = 0; now < durationMs; now += 5) {
			if (replaceAllocator && now % 7_000 == 0 && now > 0) {
				allocator = ShareAllocator.create(now);
			}
			int hot = (int) (now / 4_000) % VMS;
			for (int vm = 0; vm < VMS; vm++) {
				ShareLimiter limiter = limiters.get(vm);
				boolean arrives = random.nextDouble() < ((vm == hot) ? 1 : 0.05);
				admitted += (arrives && limiter.tryAcquire(LIMIT, VMS, now)) ? 1 : 0;
				if (now % 500 == vm * 5) {
					double rate = allocator.allocate(limiter.createRequest("w", "vm" + vm, now), LIMIT, now + 2);
					if (random.nextDouble() >= lossRate) {
						limiter.onGrant(rate, now);
					}
				}
			}
		}
		return admitted;
	}

	@Test
	void allVmsTogetherStayWithinTheLimitUnderMessageLoss() {
		long seconds = 60;
		double burst = LIMIT * 0.5 + VMS;
		for (long seed = 0; seed < 200; seed++) {
			int total = countAdmitted(seed, (seed % 4) * 0.25, seed % 2 == 0, seconds * 1_000);
			assertTrue(total <= LIMIT * seconds + burst, "seed " + seed + " let in " + total);
		}
	}

	@Test
	void sharesFollowDemand() {
		int total = countAdmitted(1, 0, false, 60_000);
		assertTrue(total >= LIMIT * 60 * 0.6, "one hot VM after the other uses most of the limit: " + total);
	}

	@Test
	void aVmWithoutGrantsUsesItsReservedShare() {
		int total = countAdmitted(1, 1, false, 60_000);
		double reserved = LIMIT * ShareAllocator.RESERVED_FRACTION * 60;
		assertTrue(total <= reserved + VMS, "let in " + total);
		assertTrue(total >= reserved * 0.5, "let in " + total);
	}

}
