package org.tallycart.http.event;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Buffer of an incomplete message of limited size. Its memory counts in
 * {@link HeldBytes}.
 * <p>
 * Invariant: the consumer is called at most once, when the limit or that of the account
 * is exceeded; the buffer is empty from then on. Not thread-safe: confined to an event
 * loop.
 *
 * @since 0.1
 */
public final class HeldBuffer implements HeldBytes.Holder {

	private static final byte[] EMPTY = {};

	/** Capacity up to which a buffer is not counted, in bytes. */
	private static final int UNCOUNTED_BYTES = 16 << 10;

	private static final int INITIAL_CAPACITY = 512;

	private final MessageLimit limit;

	private final int maxBytes;

	private final HeldBytes account;

	private final Consumer<LimitExceeded> onExceeded;

	private byte[] bytes = EMPTY;

	private int length;

	private long counted;

	private boolean lengthKnown;

	private boolean discarded;

	/**
	 * Create a buffer.
	 * @param limit the limit on its size
	 * @param maxBytes the maximum size, in bytes
	 * @param account the account of all buffers
	 * @param onExceeded a callback for when a limit is exceeded, called once at most
	 */
	public HeldBuffer(MessageLimit limit, int maxBytes, HeldBytes account, Consumer<LimitExceeded> onExceeded) {
		this.limit = limit;
		this.maxBytes = maxBytes;
		this.account = account;
		this.onExceeded = onExceeded;
	}

	/** Record that the message states its length. */
	public void markLengthKnown() {
		this.lengthKnown = true;
	}

	/**
	 * Append bytes, unless a limit is or was exceeded.
	 * @param source the array that holds them
	 * @param from the index of the first byte
	 * @param to the index after the last byte
	 */
	public void append(byte[] source, int from, int to) {
		int count = to - from;
		if (this.discarded || count == 0) {
			return;
		}
		if (count > this.maxBytes - this.length) {
			LimitExceeded exceeded = new LimitExceeded(this.limit, this.maxBytes, (long) this.length + count);
			discard();
			onDiscarded(exceeded);
			return;
		}
		reserve(this.length + count);
		if (!this.discarded) {
			System.arraycopy(source, from, this.bytes, this.length, count);
			this.length += count;
		}
		this.account.notifyDiscarded(this);
	}

	// Counts new memory before it is allocated.
	private void reserve(int required) {
		if (required <= this.bytes.length) {
			return;
		}
		int capacity = (int) Math.min(Math.max(2L * this.bytes.length, INITIAL_CAPACITY),
				Math.max(this.maxBytes, INITIAL_CAPACITY));
		capacity = Math.max(capacity, required);
		if (capacity > UNCOUNTED_BYTES) {
			long added = capacity - this.counted;
			this.counted = capacity;
			this.account.add(this, added);
		}
		if (!this.discarded) {
			this.bytes = Arrays.copyOf(this.bytes, capacity);
		}
	}

	/**
	 * Return the number of bytes in the buffer.
	 * @return the number
	 */
	public int length() {
		return this.length;
	}

	/**
	 * Return a copy of bytes in the buffer.
	 * @param from the index of the first byte
	 * @return the bytes from there to the end
	 */
	public byte[] copyFrom(int from) {
		return Arrays.copyOfRange(this.bytes, from, this.length);
	}

	/**
	 * Remove and return all bytes, followed by others.
	 * @param source the array that holds the others
	 * @param to the index after the last one
	 * @return the bytes
	 */
	public byte[] takeWith(byte[] source, int to) {
		byte[] all = Arrays.copyOf(this.bytes, this.length + to);
		System.arraycopy(source, 0, all, this.length, to);
		release();
		return all;
	}

	/**
	 * Remove and return all bytes.
	 * @return the bytes
	 */
	public byte[] take() {
		return takeWith(EMPTY, 0);
	}

	/** Remove all bytes. Has to be called for a buffer that is not used any more. */
	public void release() {
		this.account.remove(this, this.counted);
		this.counted = 0;
		this.length = 0;
		if (this.bytes.length > UNCOUNTED_BYTES) {
			this.bytes = EMPTY;
		}
	}

	@Override
	public long heldBytes() {
		return this.counted;
	}

	@Override
	public boolean isLengthKnown() {
		return this.lengthKnown;
	}

	@Override
	public void discard() {
		this.discarded = true;
		release();
		this.bytes = EMPTY;
	}

	@Override
	public void onDiscarded(LimitExceeded exceeded) {
		this.onExceeded.accept(exceeded);
	}

}
