package org.tallycart.core.attempt;

import java.util.Set;

import org.tallycart.core.serving.Route;

/**
 * The operators' limits on hedges.
 * <p>
 * Immutable and thread-safe.
 *
 * @param share hedges as a share of a service's first attempts, over all VMs; 0 for none
 * @param burst hedges in addition within a window, over all VMs
 * @param routes names of the routes whose requests may be hedged; empty for all
 * @since 0.1
 */
public record HedgeLimits(double share, int burst, Set<String> routes) {

	/** No hedges. */
	public static final HedgeLimits OFF = new HedgeLimits(0, 0, Set.of());

	public HedgeLimits {
		routes = Set.copyOf(routes);
	}

	/**
	 * Return whether requests of a route may be hedged.
	 * @param route the route
	 * @return true if it is repeatable and within the limits
	 */
	public boolean covers(Route route) {
		return this.share > 0 && route.repeatable() && (this.routes.isEmpty() || this.routes.contains(route.name()));
	}

}
