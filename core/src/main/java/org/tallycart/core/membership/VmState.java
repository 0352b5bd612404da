package org.tallycart.core.membership;

/**
 * State of a VM in the platform's list.
 *
 * @since 0.1
 */
public enum VmState {

	/** Running. */
	LIVE,
	/** Draining: accepts no new work and will be terminated. */
	LEAVING

}
