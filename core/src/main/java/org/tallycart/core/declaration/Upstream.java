package org.tallycart.core.declaration;

import org.tallycart.core.ini.Address;

/**
 * An upstream of a service.
 *
 * @param id name of the upstream, unique in the fleet
 * @param address listen address
 * @param domain failure domain of the upstream
 * @param slots maximum number of concurrent calls
 * @since 0.1
 */
public record Upstream(String id, Address address, String domain, int slots) {
}
