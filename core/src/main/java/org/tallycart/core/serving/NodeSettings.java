package org.tallycart.core.serving;

import org.tallycart.core.ini.Address;

/**
 * What a process learns of its VM and of the bounds it has to keep.
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the VM's name
 * @param ip the VM's address
 * @param failureDomain where the VM is
 * @param callers where callers are accepted
 * @param readiness where the platform asks whether the VM is ready
 * @param peerPort where other VMs are accepted; the same on all VMs
 * @param capacity the VM's processor time, in thousandths of a core
 * @param store the platform's store
 * @param platformLimits figures to be kept
 * @param evacuationsEnabled whether operators may order that nothing be sent to a failure
 * domain
 * @since 0.1
 */
public record NodeSettings(String vm, String ip, String failureDomain, Address callers, Address readiness, int peerPort,
		int capacity, Address store, PlatformLimits platformLimits, boolean evacuationsEnabled) {

	/**
	 * Figures that the operators of the platform set.
	 *
	 * @param graceMs time from the signal to stop to the kill, in milliseconds
	 * @param retryRatio extra sends allowed for each request
	 * @param retryWindowMs the window over which sends are counted, in milliseconds
	 * @param retrySlack extra sends allowed in a window beside those, over all VMs
	 * @since 0.1
	 */
	public record PlatformLimits(long graceMs, double retryRatio, long retryWindowMs, double retrySlack) {
	}

}
