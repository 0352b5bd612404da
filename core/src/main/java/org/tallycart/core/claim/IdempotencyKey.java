package org.tallycart.core.claim;

import java.util.UUID;

import io.vavr.control.Either;

/**
 * Idempotency key chosen by a caller: a version 7 UUID, which contains its creation time.
 * <p>
 * Immutable and thread-safe.
 *
 * @param text canonical text of the UUID
 * @param createdMs creation time, in milliseconds since the epoch
 * @since 0.1
 */
public record IdempotencyKey(String text, long createdMs) {

	private static final int VERSION = 7;

	private static final int TIME_SHIFT = 16;

	/**
	 * Parse a key.
	 * @param text the value of a header field
	 * @return the key, or an error message
	 */
	public static Either<String, IdempotencyKey> parse(String text) {
		try {
			UUID uuid = UUID.fromString(text);
			if (uuid.version() != VERSION) {
				return Either.left("is a UUID of version " + uuid.version() + ", not " + VERSION);
			}
			return Either.right(new IdempotencyKey(uuid.toString(), uuid.getMostSignificantBits() >>> TIME_SHIFT));
		}
		catch (IllegalArgumentException ex) {
			return Either.left("is not a UUID");
		}
	}

	/**
	 * Return the slot of the key.
	 * @param slotCount the number of slots
	 * @return a slot from 0 to {@code slotCount - 1}
	 */
	public int slot(int slotCount) {
		UUID uuid = UUID.fromString(this.text);
		return Math.floorMod(Long.hashCode(uuid.getLeastSignificantBits()), slotCount);
	}

}
