package org.tallycart.core.serving;

import java.util.Optional;

/**
 * A service that upstreams provide.
 *
 * @param name its name
 * @param maxConnections connections that one upstream accepts from all callers together
 * @param pool what a worker can do, for stage pools
 * @param engine whether its upstreams are model engines
 * @since 0.1
 */
public record ServiceSpec(String name, int maxConnections, Optional<PoolSpec> pool, boolean engine) {
}
