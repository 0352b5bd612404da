package org.tallycart.core.membership;

import org.tallycart.core.ini.Address;

/**
 * One entry of the platform's list of VMs.
 *
 * @param id the VM
 * @param role what runs on it: {@code entry} or {@code upstream}
 * @param domain its failure domain
 * @param address of its steward, or of its upstream
 * @param state its state
 * @since 0.1
 */
public record Vm(String id, String role, String domain, Address address, VmState state) {

	/** Role of VMs on which this system runs. */
	public static final String ROLE_ENTRY = "entry";

	/** Role of VMs on which upstreams run. */
	public static final String ROLE_UPSTREAM = "upstream";

}
