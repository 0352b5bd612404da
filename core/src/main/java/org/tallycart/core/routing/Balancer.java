package org.tallycart.core.routing;

import java.util.List;

/**
 * Load balancing policy: chooses one of several upstreams.
 * <p>
 * Implementations are thread-safe.
 *
 * @since 0.1
 */
public interface Balancer {

	/**
	 * Choose an upstream.
	 * @param candidates the eligible upstreams, at least one
	 * @param random the source of random choices
	 * @return the chosen upstream
	 */
	Candidate choose(List<Candidate> candidates, RandomSource random);

}
