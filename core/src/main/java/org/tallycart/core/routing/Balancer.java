package org.tallycart.core.routing;

import java.util.List;

/**
 * Chooses one of several upstreams.
 * <p>
 * Implementations are thread-safe.
 *
 * @since 0.1
 */
public interface Balancer {

	/**
	 * Choose an upstream.
	 * @param candidates the upstreams that may be chosen, at least one
	 * @param random the source of random choices
	 * @return the chosen one
	 */
	Candidate choose(List<Candidate> candidates, RandomSource random);

}
