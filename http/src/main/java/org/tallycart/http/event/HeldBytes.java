package org.tallycart.http.event;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import org.tallycart.core.outcome.UncaughtErrorReporter;

/**
 * Account of the memory that incomplete messages of all connections occupy.
 * <p>
 * Invariant: after each addition the total is at most the maximum; messages are discarded
 * for it, the largest first. Those that state their length, which ends them, are not
 * discarded while the others hold more than half of the maximum. Their holders are
 * notified after the addition. Not thread-safe: confined to an event loop.
 *
 * @since 0.1
 */
public final class HeldBytes {

	private final long maxBytes;

	private final Set<Holder> holders = new LinkedHashSet<>();

	private final Deque<Discard> discards = new ArrayDeque<>();

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

	/**
	 * Add memory of a holder. Messages are discarded for it, which may include that of
	 * the holder; {@link #notifyDiscarded} has to be called once the holder is done.
	 * @param holder the holder
	 * @param bytes the additional memory, in bytes
	 */
	void add(Holder holder, long bytes) {
		this.holders.add(holder);
		this.total += bytes;
		while (this.total > this.maxBytes) {
			Optional<Holder> largest = largest();
			if (largest.isEmpty()) {
				return;
			}
			LimitExceeded exceeded = new LimitExceeded(MessageLimit.HELD_BYTES, this.maxBytes, this.total);
			largest.get().discard();
			this.discards.add(new Discard(largest.get(), exceeded));
		}
	}

	/**
	 * Notify the holders whose messages were discarded. An error in one of them, other
	 * than the given holder, is reported rather than thrown: it concerns another message.
	 * @param holder the holder that has added memory
	 */
	void notifyDiscarded(Holder holder) {
		Optional<LimitExceeded> own = Optional.empty();
		Discard next = this.discards.poll();
		while (next != null) {
			if (next.holder() == holder) {
				own = Optional.of(next.exceeded());
			}
			else {
				notifyOther(next);
			}
			next = this.discards.poll();
		}
		own.ifPresent(holder::onDiscarded);
	}

	private static void notifyOther(Discard discard) {
		try {
			discard.holder().onDiscarded(discard.exceeded());
		}
		catch (Exception | Error ex) {
			UncaughtErrorReporter.report(ex);
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
		 */
		void discard();

		/**
		 * Handle that the message was discarded, outside of any work on other messages.
		 * @param exceeded the reason
		 */
		void onDiscarded(LimitExceeded exceeded);

	}

	/**
	 * A message that was discarded, of which its holder was not notified.
	 *
	 * @param holder the holder
	 * @param exceeded the reason
	 */
	private record Discard(Holder holder, LimitExceeded exceeded) {
	}

}
