package org.tallycart.core.fleet;

import java.util.Optional;

/**
 * Work that one VM does for others.
 *
 * @param subject names it; VMs that know the same VMs rank them alike for it
 * @param failureDomain the failure domain whose VMs may hold it; empty for all VMs
 * @since 0.1
 */
public record Duty(String subject, Optional<String> failureDomain) {

	/**
	 * Dispatching a stage pool's calls.
	 * @param service the pool
	 * @return a duty that any VM may hold
	 */
	public static Duty dispatch(String service) {
		return new Duty("dispatch/" + service, Optional.empty());
	}

	/**
	 * Following the platform's store for the VMs of a failure domain.
	 * @param failureDomain the failure domain
	 * @return a duty that a VM of that failure domain holds
	 */
	public static Duty follow(String failureDomain) {
		return new Duty("follow/" + failureDomain, Optional.of(failureDomain));
	}

	boolean mayBeHeldBy(VmRecord record) {
		return this.failureDomain.map(record.failureDomain()::equals).orElse(true);
	}

}
