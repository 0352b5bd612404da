package org.tallycart.core.stream;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The origins of streams that one VM keeps, for a limited time each.
 * <p>
 * Invariant: holds at most {@link #MAX_STREAMS} streams; the oldest are removed first.
 * Not thread-safe: guarded by {@link StreamOriginRegistry}.
 */
final class StreamOriginTable {

	/** Maximum number of streams, a few megabytes. */
	static final int MAX_STREAMS = 20_000;

	private final Map<String, Entry> entries = new LinkedHashMap<>();

	void put(String id, StreamOrigin origin, long untilMs) {
		this.entries.remove(id);
		this.entries.put(id, new Entry(origin, untilMs));
		if (this.entries.size() > MAX_STREAMS) {
			this.entries.remove(this.entries.keySet().iterator().next());
		}
	}

	Optional<StreamOrigin> find(String id, long nowMs) {
		return findBegun(id, nowMs).map(BegunStream::origin);
	}

	Optional<BegunStream> findBegun(String id, long nowMs) {
		Entry entry = this.entries.get(id);
		return (entry != null && nowMs < entry.untilMs) ? Optional.of(begun(id, entry, nowMs)) : Optional.empty();
	}

	private static BegunStream begun(String id, Entry entry, long nowMs) {
		return new BegunStream(id, entry.origin, entry.untilMs - nowMs);
	}

	// Entries are kept for similar times, so the first ones expire first.
	void expire(long nowMs) {
		Iterator<Entry> oldest = this.entries.values().iterator();
		while (oldest.hasNext() && oldest.next().untilMs <= nowMs) {
			oldest.remove();
		}
	}

	List<BegunStream> all(long nowMs) {
		List<BegunStream> streams = new ArrayList<>();
		this.entries.forEach((id, entry) -> {
			if (nowMs < entry.untilMs) {
				streams.add(begun(id, entry, nowMs));
			}
		});
		return streams;
	}

	int size() {
		return this.entries.size();
	}

	/**
	 * A stream.
	 *
	 * @param origin where it began
	 * @param untilMs the time until which it is kept
	 */
	private record Entry(StreamOrigin origin, long untilMs) {
	}

}
