package org.tallycart.core.claim;

/**
 * Owner of one slot.
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the owning VM
 * @param incarnation the owning process on that VM
 * @param term rises by one with each change of owner
 * @param handedOver whether the claims came along (true), or were lost (false)
 * @since 0.1
 */
public record SlotOwner(String vm, long incarnation, long term, boolean handedOver) {

	/**
	 * Return whether a process is this owner.
	 * @param otherVm the process's VM
	 * @param otherIncarnation the process's incarnation
	 * @return true if it is
	 */
	public boolean matches(String otherVm, long otherIncarnation) {
		return this.vm.equals(otherVm) && this.incarnation == otherIncarnation;
	}

}
