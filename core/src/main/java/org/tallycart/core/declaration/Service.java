package org.tallycart.core.declaration;

import java.util.List;

/**
 * A group of upstreams that serve the same calls.
 *
 * @param id name of the service
 * @param kind kind of the service, which determines its interface
 * @param model model to request in calls; may be empty
 * @param path path of calls, for plain services
 * @param costPerCall cost units per call
 * @param costPerToken cost units per generated token
 * @param balancer algorithm for selecting an upstream
 * @param upstreams upstreams of the service
 * @since 0.1
 */
public record Service(String id, StageKind kind, String model, String path, double costPerCall, double costPerToken,
		BalancerKind balancer, List<Upstream> upstreams) {
}
