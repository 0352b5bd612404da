package org.tallycart.core.pool;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Result memory that is in use at each worker of a pool, as known to the dispatcher:
 * completed results that are not released yet, and reservations for calls in progress.
 * <p>
 * Invariant: the memory of a result is freed once, when the result is released or expires
 * at its worker. Not thread-safe: guarded by {@link PoolDispatcher}.
 */
final class ResultMemory {

	// In the order in which results expire, since all have the same time to live.
	private final Map<String, StoredResult> results = new LinkedHashMap<>();

	private final Map<String, Long> usedBytes = new HashMap<>();

	void reserve(String worker, long bytes) {
		this.usedBytes.merge(worker, bytes, Long::sum);
	}

	void unreserve(String worker, long bytes) {
		this.usedBytes.merge(worker, -bytes, Long::sum);
	}

	void store(String worker, String handle, long bytes, long expiresMs) {
		release(handle);
		this.results.put(handle, new StoredResult(worker, bytes, expiresMs));
		reserve(worker, bytes);
	}

	void release(String handle) {
		StoredResult result = this.results.remove(handle);
		if (result != null) {
			unreserve(result.worker(), result.bytes());
		}
	}

	void expire(long nowMs) {
		Iterator<StoredResult> iterator = this.results.values().iterator();
		while (iterator.hasNext()) {
			StoredResult oldest = iterator.next();
			if (oldest.expiresMs() > nowMs) {
				return;
			}
			iterator.remove();
			unreserve(oldest.worker(), oldest.bytes());
		}
	}

	long usedBytes(String worker) {
		return this.usedBytes.getOrDefault(worker, 0L);
	}

	/**
	 * Result that a worker stores.
	 *
	 * @param worker the incarnation of the worker
	 * @param bytes the size of the result, in bytes
	 * @param expiresMs time at which the worker drops the result, on the monotonic clock
	 */
	private record StoredResult(String worker, long bytes, long expiresMs) {
	}

}
