package org.tallycart.core.fleet;

import java.util.Optional;

/**
 * Work that one VM does for others. VMs with the same records rank the candidates of a
 * role alike.
 *
 * @param name the unique name, which is also the key for the ranking of candidates
 * @param failureDomain the failure domain whose VMs are eligible; empty for all VMs
 * @param heavy whether the work takes much of a VM's processor time and bandwidth
 * @since 0.1
 */
public record LeaderRole(String name, Optional<String> failureDomain, boolean heavy) {

	/** Reads the platform's store for all VMs. */
	public static final LeaderRole STORE_READER = new LeaderRole("read", Optional.empty(), false);

	/** Grants the requests to upstreams that have stated a limit. */
	public static final LeaderRole PERMIT_GRANTER = new LeaderRole("grant", Optional.empty(), false);

	/**
	 * Return the role of dispatching the calls of a stage pool.
	 * @param service the service name of the pool
	 * @return the role, for which any VM is eligible
	 */
	public static LeaderRole poolDispatcher(String service) {
		return new LeaderRole("dispatch/" + service, Optional.empty(), true);
	}

	/**
	 * Return the role of relaying the store's contents to the VMs of a failure domain.
	 * @param failureDomain the failure domain
	 * @return the role, for which only VMs of the failure domain are eligible
	 */
	public static LeaderRole domainRelay(String failureDomain) {
		return new LeaderRole("follow/" + failureDomain, Optional.of(failureDomain), false);
	}

	boolean isEligible(VmRecord record) {
		return this.failureDomain.map(record.failureDomain()::equals).orElse(true);
	}

}
