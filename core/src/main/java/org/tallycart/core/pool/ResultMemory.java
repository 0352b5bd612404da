package org.tallycart.core.pool;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How much room for results the workers of a pool have left, as far as the dispatcher
 * knows: what it had made and has not heard to be given back, and what calls in progress
 * will add.
 * <p>
 * Invariant: room that is taken is given back once, when its result is released or has
 * expired at its maker. Not thread-safe: guarded by {@link PoolDispatcher}.
 */
final class ResultMemory {

	// In the order in which results expire, since all are kept for the same time.
	private final Map<String, StoredResult> held = new LinkedHashMap<>();

	private final Map<String, Long> taken = new HashMap<>();

	void reserve(String worker, long bytes) {
		this.taken.merge(worker, bytes, Long::sum);
	}

	void unreserve(String worker, long bytes) {
		this.taken.merge(worker, -bytes, Long::sum);
	}

	void hold(String worker, String handle, long bytes, long untilMs) {
		release(handle);
		this.held.put(handle, new StoredResult(worker, bytes, untilMs));
		reserve(worker, bytes);
	}

	void release(String handle) {
		StoredResult result = this.held.remove(handle);
		if (result != null) {
			unreserve(result.worker(), result.bytes());
		}
	}

	void expire(long nowMs) {
		Iterator<StoredResult> each = this.held.values().iterator();
		while (each.hasNext()) {
			StoredResult oldest = each.next();
			if (oldest.untilMs() > nowMs) {
				return;
			}
			each.remove();
			unreserve(oldest.worker(), oldest.bytes());
		}
	}

	long taken(String worker) {
		return this.taken.getOrDefault(worker, 0L);
	}

	/**
	 * A result that its maker keeps.
	 *
	 * @param worker the maker
	 * @param bytes its size
	 * @param untilMs when the maker drops it of its own accord, on the steady clock
	 */
	private record StoredResult(String worker, long bytes, long untilMs) {
	}

}
