package org.tallycart.http.event;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Account of the memory that incomplete messages of all connections occupy.
 * <p>
 * Invariant: after each addition the total is at most the maximum; messages are discarded
 * for it, the largest first. Of messages that state their length, which ends them, an
 * eighth of the size counts. Not thread-safe: confined to an event loop.
 *
 * @since 0.1
 */
public final class HeldBytes {

	/** Weight of the size of a message without a stated length. */
	private static final int UNKNOWN_LENGTH_WEIGHT = 8;

	private final long maxBytes;

	private final Set<Holder> holders = new LinkedHashSet<>();

	private long total;

	/**
	 * Create an account.
	 * @param maxBytes the maximum total, in bytes
	 */
	public HeldBytes(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Return the total.
	 * @return the total in bytes
	 */
	public long total() {
		return this.total;
	}

	// Discards messages, which may include that of the holder.
	void add(Holder holder, long bytes) {
		this.holders.add(holder);
		this.total += bytes;
		while (this.total > this.maxBytes) {
			Optional<Holder> largest = this.holders.stream().max(Comparator.comparingLong(HeldBytes::weight));
			if (largest.isEmpty()) {
				return;
			}
			largest.get().discard(new LimitExceeded(MessageLimit.HELD_BYTES, this.maxBytes, this.total));
		}
	}

	private static long weight(Holder holder) {
		return holder.isLengthKnown() ? holder.heldBytes() : UNKNOWN_LENGTH_WEIGHT * holder.heldBytes();
	}

	void remove(Holder holder, long bytes) {
		if (this.holders.remove(holder)) {
			this.total -= bytes;
		}
	}

	/** Holder of an incomplete message. */
	interface Holder {

		/**
		 * Return the memory that the message occupies.
		 * @return the size in bytes, as added
		 */
		long heldBytes();

		/**
		 * Return whether the message states its length.
		 * @return true if it does
		 */
		boolean isLengthKnown();

		/**
		 * Discard the message, and remove it from the account.
		 * @param exceeded the reason
		 */
		void discard(LimitExceeded exceeded);

	}

}
