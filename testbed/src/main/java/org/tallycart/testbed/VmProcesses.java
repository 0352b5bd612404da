package org.tallycart.testbed;

/**
 * Processes of one VM of a local fleet.
 * <p>
 * Not thread-safe, except for the balancer flag.
 *
 * @since 0.1
 */
public final class VmProcesses {

	final String id;

	final String domain;

	ManagedProcess steward;

	ManagedProcess entry;

	int peerPort;

	int stewardStatusPort;

	int callersPort;

	int entryStatusPort;

	volatile boolean inBalancer;

	boolean listed = true;

	@SuppressWarnings("NullAway.Init")
	VmProcesses(String id, String domain) {
		this.id = id;
		this.domain = domain;
	}

	/**
	 * Return the VM's id.
	 * @return the id
	 */
	public String id() {
		return this.id;
	}

	/**
	 * Return the VM's steward process.
	 * @return the process
	 */
	public ManagedProcess steward() {
		return this.steward;
	}

	/**
	 * Return the VM's entry process.
	 * @return the process
	 */
	public ManagedProcess entry() {
		return this.entry;
	}

	/**
	 * Set whether the VM is in the balancer.
	 * @param in true if the VM receives requests
	 */
	public void setInBalancer(boolean in) {
		this.inBalancer = in;
	}

	/**
	 * Set whether the VM is in the platform's VM list. Takes effect when the list is next
	 * published.
	 * @param in true if the VM is listed
	 */
	public void setListed(boolean in) {
		this.listed = in;
	}

}
