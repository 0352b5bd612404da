package org.tallycart.core.fleet;

import java.util.Optional;

/**
 * Work that one VM does for others.
 *
 * @param subject names it; VMs that know the same VMs rank them alike for it
 * @param failureDomain the failure domain whose VMs may hold it; empty for all VMs
 * @param heavy whether it takes much of a VM's processor time and link
 * @since 0.1
 */
public record LeaderRole(String subject, Optional<String> failureDomain, boolean heavy) {

	/** Reading the platform's store for all VMs: a duty that any VM may hold. */
	public static final LeaderRole STORE_READER = new LeaderRole("read", Optional.empty(), false);

	/** Granting what may be sent to upstreams that have named a limit. */
	public static final LeaderRole PERMIT_GRANTER = new LeaderRole("grant", Optional.empty(), false);

	/**
	 * Dispatching a stage pool's calls.
	 * @param service the pool
	 * @return a duty that any VM may hold
	 */
	public static LeaderRole poolDispatcher(String service) {
		return new LeaderRole("dispatch/" + service, Optional.empty(), true);
	}

	/**
	 * Passing on what the platform's store says to the VMs of a failure domain.
	 * @param failureDomain the failure domain
	 * @return a duty that a VM of that failure domain holds
	 */
	public static LeaderRole domainRelay(String failureDomain) {
		return new LeaderRole("follow/" + failureDomain, Optional.of(failureDomain), false);
	}

	boolean mayBeHeldBy(VmRecord record) {
		return this.failureDomain.map(record.failureDomain()::equals).orElse(true);
	}

}
