package org.tallycart.node.store;

import org.tallycart.core.crash.Quarantine;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.node.metrics.NodeMetrics;

/**
 * What the store's objects become part of in this process.
 *
 * @param config the configuration in force
 * @param directory the upstreams
 * @param quarantine the requests that no upstream gets
 * @param metrics what is counted
 * @since 0.1
 */
public record ReplicatedState(ActiveConfig config, UpstreamDirectory directory, Quarantine quarantine,
		NodeMetrics metrics) {
}
