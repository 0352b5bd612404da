package org.tallycart.core.routing;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Baseline: one upstream after the other.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class RoundRobinBalancer implements Balancer {

	private final AtomicInteger next = new AtomicInteger();

	@Override
	public Candidate choose(List<Candidate> candidates, RandomSource random) {
		return candidates.get(Math.floorMod(this.next.getAndIncrement(), candidates.size()));
	}

}
