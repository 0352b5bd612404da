package org.tallycart.core.declaration;

import java.util.List;

/**
 * A group of upstreams that serve the same calls.
 *
 * @param id the name
 * @param kind which interface they speak
 * @param model the model to name in calls; may be empty
 * @param path the path of calls, for plain services
 * @param costPerCall cost units of one call
 * @param costPerToken cost units of one generated token
 * @param balancer how an upstream is chosen
 * @param upstreams the workers
 * @since 0.1
 */
public record Service(String id, StageKind kind, String model, String path, double costPerCall, double costPerToken,
		BalancerKind balancer, List<Upstream> upstreams) {
}
