package org.tallycart.core.claim;

/**
 * The one attempt that was granted a key.
 *
 * @param vm the VM of the entry that asked
 * @param attemptId the entry's id of the attempt, unique in the fleet
 * @since 0.1
 */
public record ClaimHolder(String vm, String attemptId) {
}
