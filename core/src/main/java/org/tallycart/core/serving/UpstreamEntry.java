package org.tallycart.core.serving;

import org.tallycart.core.ini.Address;

/**
 * One incarnation of an upstream, as the platform lists it.
 *
 * @param id names the incarnation; a restart has another
 * @param service the service it provides
 * @param address where it listens; used again by others once it is gone
 * @param failureDomain where it runs
 * @param slots requests it works on at the same time
 * @param draining whether it has announced that it leaves
 * @since 0.1
 */
public record UpstreamEntry(String id, String service, Address address, String failureDomain, int slots,
		boolean draining) {
}
