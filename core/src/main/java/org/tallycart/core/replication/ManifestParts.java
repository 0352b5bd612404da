package org.tallycart.core.replication;

/**
 * Divides declarations into parts, so that a change transfers few bytes and each part
 * stays below the size limit for values of the platform's store.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class ManifestParts {

	/** Number of parts over which the workspaces are distributed. */
	public static final int WORKSPACE_PARTS = 64;

	private ManifestParts() {
	}

	/**
	 * Return the part that a declaration belongs to.
	 * @param section the section name of the declaration, such as
	 * {@code workspace shop-7}
	 * @return the name of the part
	 */
	public static String partOf(String section) {
		String kind = section.substring(0, Math.max(section.indexOf(' '), 0));
		if (kind.equals("workspace")) {
			return kind + "-" + Math.floorMod(section.hashCode(), WORKSPACE_PARTS);
		}
		return kind;
	}

}
