package org.tallycart.core.replication;

import java.util.Arrays;

import org.tallycart.core.outcome.InvariantViolation;

/**
 * A value with a version that only increases.
 * <p>
 * Invariant: the version never decreases, and a version has exactly one value. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class VersionedRegister {

	private final String name;

	private long version;

	private byte[] value = {};

	private VersionedRegister(String name) {
		this.name = name;
	}

	/**
	 * Create a register with version 0 and an empty value.
	 * @param name the name
	 * @return the register
	 */
	public static VersionedRegister create(String name) {
		return new VersionedRegister(name);
	}

	/**
	 * Offer a value received from a peer or from the platform's service.
	 * @param offeredVersion the version of the value
	 * @param offered the value
	 * @return the result
	 */
	public OfferResult offer(long offeredVersion, byte[] offered) {
		if (offeredVersion < this.version) {
			return OfferResult.REFUSED_OLD;
		}
		if (offeredVersion == this.version) {
			return Arrays.equals(offered, this.value) ? OfferResult.SAME : OfferResult.REFUSED_DIFFERENT;
		}
		long previousVersion = this.version;
		this.version = offeredVersion;
		this.value = offered.clone();
		InvariantViolation.check(this.version > previousVersion, this.name + ": the version decreased");
		return OfferResult.APPLIED;
	}

	/**
	 * Return the name.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Return the version.
	 * @return the version; 0 if no value has been accepted yet
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Return the value.
	 * @return a copy of the value
	 */
	public byte[] value() {
		return this.value.clone();
	}

	/** Result of an offer. */
	public enum OfferResult {

		/** The value was newer and has been applied. */
		APPLIED,
		/** The value is equal to the current one. */
		SAME,
		/** The value was older and has been refused. */
		REFUSED_OLD,
		/**
		 * The value differs from the current value of the same version and has been
		 * refused.
		 */
		REFUSED_DIFFERENT

	}

}
