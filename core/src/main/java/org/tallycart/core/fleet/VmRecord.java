package org.tallycart.core.fleet;

import org.tallycart.core.ini.Address;

/**
 * A VM's entry in the platform's store, by which other VMs discover it.
 *
 * @param vm the name of the VM
 * @param address the address at which it accepts connections of other VMs
 * @param failureDomain the failure domain of the VM
 * @param capacity the processor time of the VM, in thousandths of a core; VMs with more
 * capacity are preferred as leaders
 * @since 0.1
 */
public record VmRecord(String vm, Address address, String failureDomain, int capacity) {
}
