package org.tallycart.node.store;

import org.tallycart.core.crash.Quarantine;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.node.metrics.NodeMetrics;

/**
 * The state of this process that is replicated from the store's objects.
 *
 * @param config the active configuration
 * @param directory the directory of upstreams
 * @param quarantine the quarantined requests
 * @param metrics the metrics of this process
 * @since 0.1
 */
public record ReplicatedState(ActiveConfig config, UpstreamDirectory directory, Quarantine quarantine,
		NodeMetrics metrics) {
}
