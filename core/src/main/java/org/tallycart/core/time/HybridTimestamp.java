package org.tallycart.core.time;

/**
 * A timestamp of a hybrid logical clock.
 * <p>
 * Invariant: {@code logical} orders events within one physical millisecond. Immutable and
 * thread-safe.
 *
 * @param physicalMs wall clock time, in milliseconds since the epoch
 * @param logical counter within the millisecond
 * @since 0.1
 * @see HybridClock
 */
public record HybridTimestamp(long physicalMs, int logical) implements Comparable<HybridTimestamp> {

	/** The earliest timestamp. */
	public static final HybridTimestamp ZERO = new HybridTimestamp(0, 0);

	private static final int LOGICAL_BITS = 16;

	private static final long LOGICAL_MASK = (1L << LOGICAL_BITS) - 1;

	/**
	 * Encode this timestamp as a long with the same ordering.
	 * @return the packed form
	 */
	public long packed() {
		return (this.physicalMs << LOGICAL_BITS) | Math.min(this.logical, LOGICAL_MASK);
	}

	/**
	 * Decode a timestamp encoded by {@link #packed()}.
	 * @param packed the packed form
	 * @return the timestamp
	 */
	public static HybridTimestamp ofPacked(long packed) {
		return new HybridTimestamp(packed >>> LOGICAL_BITS, (int) (packed & LOGICAL_MASK));
	}

	@Override
	public int compareTo(HybridTimestamp other) {
		int order = Long.compare(this.physicalMs, other.physicalMs);
		return (order != 0) ? order : Integer.compare(this.logical, other.logical);
	}

}
