package org.tallycart.core.serving;

import java.util.Optional;

/**
 * A service that upstreams provide.
 *
 * @param name its name
 * @param maxConnections connections that one upstream accepts from all callers together
 * @param pool what a worker can do, for stage pools
 * @param engine whether its upstreams are model engines
 * @param coldRequestsPerSecond requests a second that a cold upstream bears, from all VMs
 * together; 0 where there is no limit
 * @since 0.1
 */
public record ServiceSpec(String name, int maxConnections, Optional<PoolSpec> pool, boolean engine,
		double coldRequestsPerSecond) {
}
