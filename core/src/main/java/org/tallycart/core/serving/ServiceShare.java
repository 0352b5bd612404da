package org.tallycart.core.serving;

/**
 * Weighted share of a service in the requests of a route.
 *
 * @param service name of the service
 * @param weight weight relative to the other shares of the route
 * @since 0.1
 */
public record ServiceShare(String service, int weight) {
}
