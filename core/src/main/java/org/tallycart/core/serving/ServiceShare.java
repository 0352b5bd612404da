package org.tallycart.core.serving;

/**
 * A service's share of a route's requests.
 *
 * @param service the service
 * @param weight its weight against the route's other shares
 * @since 0.1
 */
public record ServiceShare(String service, int weight) {
}
