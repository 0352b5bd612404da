package org.tallycart.core.pool;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * How much room for results the workers of a pool have left, as far as the dispatcher
 * knows: what it had made and has not heard to be given back, and what calls in progress
 * will add.
 * <p>
 * Invariant: room that is taken is given back once, when its result is released or has
 * expired at its maker. Not thread-safe: guarded by {@link PoolDispatcher}.
 */
final class ResultRoom {

	private final Map<String, Held> held = new HashMap<>();

	private final Map<String, Long> reserved = new HashMap<>();

	void reserve(String worker, long bytes) {
		this.reserved.merge(worker, bytes, Long::sum);
	}

	void unreserve(String worker, long bytes) {
		this.reserved.merge(worker, -bytes, Long::sum);
	}

	void hold(String worker, String handle, long bytes, long untilMs) {
		this.held.put(handle, new Held(worker, bytes, untilMs));
	}

	void release(String handle) {
		this.held.remove(handle);
	}

	void expire(long nowMs) {
		Iterator<Held> each = this.held.values().iterator();
		while (each.hasNext()) {
			if (each.next().untilMs() <= nowMs) {
				each.remove();
			}
		}
	}

	long taken(String worker) {
		long sum = this.reserved.getOrDefault(worker, 0L);
		for (Held result : this.held.values()) {
			sum += result.worker().equals(worker) ? result.bytes() : 0;
		}
		return sum;
	}

	/**
	 * A result that its maker keeps.
	 *
	 * @param worker the maker
	 * @param bytes its size
	 * @param untilMs when the maker drops it of its own accord, on the steady clock
	 */
	private record Held(String worker, long bytes, long untilMs) {
	}

}
