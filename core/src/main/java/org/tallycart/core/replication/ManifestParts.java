package org.tallycart.core.replication;

/**
 * Divides declarations into parts, so that one change moves few bytes and each part stays
 * under the size limit of the platform's values.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class ManifestParts {

	/** Parts over which the workspaces are spread. */
	public static final int WORKSPACE_PARTS = 64;

	private ManifestParts() {
	}

	/**
	 * Return the part a declaration belongs to.
	 * @param section the declaration's section name, such as {@code workspace shop-7}
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
