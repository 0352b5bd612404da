package org.tallycart.core.serving;

import org.tallycart.core.ini.Address;

/**
 * Settings of a node process: its VM, its addresses and the limits set by the platform.
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm name of the VM
 * @param ip IP address of the VM
 * @param failureDomain failure domain of the VM
 * @param callers listen address for callers
 * @param readiness listen address for readiness probes
 * @param peerPort listen port for other VMs; the same on all VMs
 * @param capacity CPU capacity of the VM, in millicores
 * @param maxDescriptors maximum number of open file descriptors of the process
 * @param store address of the platform's store
 * @param upstreamHeartbeatMs interval at which upstreams renew their entries in the
 * store, in milliseconds
 * @param platformLimits limits set by the operators of the platform
 * @param evacuationsEnabled whether operators may evacuate a failure domain, so that no
 * requests are sent to it
 * @since 0.1
 */
public record NodeSettings(String vm, String ip, String failureDomain, Address callers, Address readiness, int peerPort,
		int capacity, int maxDescriptors, Address store, long upstreamHeartbeatMs, PlatformLimits platformLimits,
		boolean evacuationsEnabled) {

	/**
	 * Share of the descriptors for connections of callers; the others are for upstreams,
	 * other VMs and files.
	 */
	private static final double CALLER_SHARE = 0.5;

	/**
	 * Return the maximum number of connections of callers.
	 * @return the number
	 */
	public int maxCallerConnections() {
		return (int) (this.maxDescriptors * CALLER_SHARE);
	}

	/**
	 * Shutdown and retry limits set by the operators of the platform.
	 *
	 * @param graceMs time between the stop signal and the kill, in milliseconds
	 * @param retryRatio retries allowed per request
	 * @param retryWindowMs length of the window in which sends are counted, in
	 * milliseconds
	 * @param retrySlack additional retries allowed per window, over all VMs together
	 * @since 0.1
	 */
	public record PlatformLimits(long graceMs, double retryRatio, long retryWindowMs, double retrySlack) {
	}

}
