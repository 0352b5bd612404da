package org.tallycart.core.replication;

import java.util.Arrays;

import org.tallycart.core.outcome.InvariantViolation;

/**
 * A value with a version that only rises.
 * <p>
 * Invariant: the version never falls, and one version has one value. Not thread-safe.
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
	 * Create a register at version 0, with an empty value.
	 * @param name the name
	 * @return the register
	 */
	public static VersionedRegister create(String name) {
		return new VersionedRegister(name);
	}

	/**
	 * Offer a value heard from a peer or from the platform's service.
	 * @param offeredVersion its version
	 * @param offered the value
	 * @return what became of it
	 */
	public OfferResult offer(long offeredVersion, byte[] offered) {
		if (offeredVersion < this.version) {
			return OfferResult.REFUSED_OLD;
		}
		if (offeredVersion == this.version) {
			return Arrays.equals(offered, this.value) ? OfferResult.SAME : OfferResult.REFUSED_DIFFERENT;
		}
		long before = this.version;
		this.version = offeredVersion;
		this.value = offered.clone();
		InvariantViolation.check(this.version > before, this.name + ": the version fell");
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
	 * @return the version; 0 if nothing was ever accepted
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

	/** What became of an offered value. */
	public enum OfferResult {

		/** It is newer and is now the value. */
		APPLIED,
		/** It is the value already. */
		SAME,
		/** It is older and was refused. */
		REFUSED_OLD,
		/** It has the version of the present value and differs from it. */
		REFUSED_DIFFERENT

	}

}
