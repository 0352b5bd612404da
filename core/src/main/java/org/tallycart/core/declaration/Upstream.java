package org.tallycart.core.declaration;

import org.tallycart.core.ini.Address;

/**
 * One worker of a service.
 *
 * @param id the name, unique in the fleet
 * @param address where it listens
 * @param domain its failure domain
 * @param slots how many calls it runs at a time
 * @since 0.1
 */
public record Upstream(String id, Address address, String domain, int slots) {
}
