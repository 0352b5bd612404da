package org.tallycart.core.membership;

/**
 * The name of a candidate with its precomputed hash, for ranking it for many subjects.
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the name
 * @param hash hash of the name
 * @since 0.1
 */
public record HashedName(String name, long hash) {

	/**
	 * Create a hashed name.
	 * @param name the name
	 * @return the name and its hash
	 */
	public static HashedName of(String name) {
		return new HashedName(name, RendezvousHash.hash(name));
	}

}
