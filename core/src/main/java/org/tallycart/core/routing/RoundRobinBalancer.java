package org.tallycart.core.routing;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Round-robin balancer: chooses the candidates in turn.
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
