package org.tallycart.testbed;

/**
 * The processes of one VM.
 * <p>
 * Not thread-safe, but for whether it is in the balancer.
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
	 * Return the VM's steward.
	 * @return the process
	 */
	public ManagedProcess steward() {
		return this.steward;
	}

	/**
	 * Return the VM's entry.
	 * @return the process
	 */
	public ManagedProcess entry() {
		return this.entry;
	}

	/**
	 * Put the VM into the balancer, or take it out.
	 * @param in whether it gets requests
	 */
	public void setInBalancer(boolean in) {
		this.inBalancer = in;
	}

	/**
	 * Put the VM into the platform's list at its next publishing, or leave it out.
	 * @param in whether it is listed
	 */
	public void setListed(boolean in) {
		this.listed = in;
	}

}
