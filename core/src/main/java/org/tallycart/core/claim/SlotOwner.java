package org.tallycart.core.claim;

/**
 * Owner of a slot.
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm VM of the owner
 * @param incarnation incarnation of the owning process on that VM
 * @param term increases by one with each change of owner
 * @param handedOver whether the claims were transferred from the previous owner; false if
 * they were lost
 * @since 0.1
 */
public record SlotOwner(String vm, long incarnation, long term, boolean handedOver) {

	/**
	 * Return whether a process is this owner.
	 * @param otherVm the VM of the process
	 * @param otherIncarnation the incarnation of the process
	 * @return true if it is the owner
	 */
	public boolean matches(String otherVm, long otherIncarnation) {
		return this.vm.equals(otherVm) && this.incarnation == otherIncarnation;
	}

}
