package org.tallycart.steward;

/**
 * Names of the registers that stewards replicate, and of the platform's objects that
 * store them.
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

	/** Prefix of the objects that store parts; the digest follows. */
	static final String BLOB_PREFIX = "blob-";

	private RegisterName() {
	}

}
