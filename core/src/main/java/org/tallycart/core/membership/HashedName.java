package org.tallycart.core.membership;

/**
 * A candidate's name, hashed once for all subjects that it is ranked for.
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the name
 * @param hash its hash
 * @since 0.1
 */
public record HashedName(String name, long hash) {

	/**
	 * Hash a name.
	 * @param name the name
	 * @return the name and its hash
	 */
	public static HashedName of(String name) {
		return new HashedName(name, RendezvousHash.hash(name));
	}

}
