package org.tallycart.core.membership;

/**
 * State of a VM in the platform's list.
 *
 * @since 0.1
 */
public enum VmState {

	/** Running. */
	LIVE,
	/** Will go away; takes no new work. */
	LEAVING

}
