package org.tallycart.core.membership;

import org.tallycart.core.ini.Address;

/**
 * An entry of the platform's list of VMs.
 *
 * @param id id of the VM
 * @param role role of the VM: {@code entry} or {@code upstream}
 * @param domain failure domain of the VM
 * @param address address of its steward or upstream
 * @param state state of the VM
 * @since 0.1
 */
public record Vm(String id, String role, String domain, Address address, VmState state) {

	/** Role of VMs that run this system. */
	public static final String ROLE_ENTRY = "entry";

	/** Role of VMs that run upstreams. */
	public static final String ROLE_UPSTREAM = "upstream";

}
