package org.tallycart.http.event;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Account of the memory that incomplete messages of all connections occupy.
 * <p>
 * Invariant: after each addition the total is at most the maximum; messages are discarded
 * for it, the largest first. Those that state their length, which ends them, are not
 * discarded while the others hold more than half of the maximum. Not thread-safe:
 * confined to an event loop.
 *
 * @since 0.1
 */
public final class HeldBytes {

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
			Optional<Holder> largest = largest();
			if (largest.isEmpty()) {
				return;
			}
			largest.get().discard(new LimitExceeded(MessageLimit.HELD_BYTES, this.maxBytes, this.total));
		}
	}

	private Optional<Holder> largest() {
		long unknown = this.holders.stream().filter((each) -> !each.isLengthKnown()).mapToLong(Holder::heldBytes).sum();
		boolean ofKnownLength = unknown <= this.maxBytes / 2;
		return this.holders.stream()
			.filter((each) -> each.isLengthKnown() == ofKnownLength)
			.max(Comparator.comparingLong(Holder::heldBytes));
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
