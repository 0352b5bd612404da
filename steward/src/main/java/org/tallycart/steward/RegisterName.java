package org.tallycart.steward;

/**
 * Names of the registers that stewards keep in step, and of the platform's objects behind
 * them.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
final class RegisterName {

	/** The configuration's manifest. */
	static final String CONFIG = "config";

	/** The slot map. */
	static final String SLOTS = "slots";

	/** The list of VMs. */
	static final String VMS = "vms";

	/** Prefix of the objects that hold parts, followed by a digest. */
	static final String BLOB_PREFIX = "blob-";

	private RegisterName() {
	}

}
