package org.tallycart.core.fleet;

import org.tallycart.core.ini.Address;

/**
 * What a VM tells the others of itself, through the platform's store.
 *
 * @param vm its name
 * @param address where it accepts other VMs
 * @param failureDomain where it is
 * @param capacity its processor time, in thousandths of a core; duties go to the VMs that
 * have most
 * @since 0.1
 */
public record VmRecord(String vm, Address address, String failureDomain, int capacity) {
}
