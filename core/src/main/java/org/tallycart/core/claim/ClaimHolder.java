package org.tallycart.core.claim;

/**
 * The attempt that was granted a key.
 *
 * @param vm VM of the entry that claimed the key
 * @param attemptId attempt id assigned by the entry, unique in the fleet
 * @since 0.1
 */
public record ClaimHolder(String vm, String attemptId) {
}
