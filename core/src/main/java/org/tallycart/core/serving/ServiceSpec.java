package org.tallycart.core.serving;

import java.util.Optional;

/**
 * Configuration of a service provided by upstreams.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that one upstream accepts in total
 * @param pool capacity of a worker, for stage pools
 * @param engine whether its upstreams are model engines
 * @param coldRequestsPerSecond rate limit of a cold upstream in requests per second, over
 * all VMs together; 0 if there is no limit
 * @since 0.1
 */
public record ServiceSpec(String name, int maxConnections, Optional<PoolSpec> pool, boolean engine,
		double coldRequestsPerSecond) {
}
