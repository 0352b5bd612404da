package org.tallycart.core.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.tallycart.core.serving.PoolSpec;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.core.upstream.UnavailabilityRegistry;

/**
 * The workers of a pool, and which of them gets the next call.
 * <p>
 * Invariant: a worker keeps what is known of it as long as it is listed. Not thread-safe:
 * guarded by {@link PoolDispatcher}.
 */
final class PoolWorkers {

	/**
	 * A worker this many times slower than the fastest gets no call while others are
	 * idle.
	 */
	private static final double SLOW_PACE = 1.8;

	/** Paces that differ by less than one part of this are taken as equal. */
	private static final double PACE_STEPS = 2;

	private final Map<String, PoolWorker> workers = new LinkedHashMap<>();

	private final CallLimiter limit;

	PoolWorkers(CallLimiter limit) {
		this.limit = limit;
	}

	void update(List<UpstreamEntry> entries) {
		Set<String> present = new HashSet<>();
		for (UpstreamEntry entry : entries) {
			present.add(entry.incarnation());
			PoolWorker known = this.workers.get(entry.incarnation());
			if (known == null) {
				this.workers.put(entry.incarnation(), new PoolWorker(entry));
			}
			else {
				known.update(entry);
			}
		}
		this.workers.keySet().retainAll(present);
	}

	void close(Set<String> failureDomains) {
		this.workers.values()
			.forEach((worker) -> worker.setClosed(failureDomains.contains(worker.entry().failureDomain())));
	}

	// Those that may get a call now or when they are idle.
	Collection<PoolWorker> callable(long nowMs) {
		return this.workers.values().stream().filter((worker) -> callable(worker, nowMs)).toList();
	}

	private boolean callable(PoolWorker worker, long nowMs) {
		return worker.available(nowMs) && acceptsInMs(worker) == 0 && this.limit.mayCall(worker.entry());
	}

	// When the first worker takes calls, by their own words; NEVER if there is none that
	// does not leave. Evacuated ones may be taken back at any moment.
	long acceptsInMs() {
		if (this.workers.isEmpty()) {
			return UnavailabilityRegistry.NEVER;
		}
		return this.workers.values()
			.stream()
			.filter((worker) -> !worker.closed())
			.mapToLong(this::acceptsInMs)
			.min()
			.orElse(0);
	}

	private long acceptsInMs(PoolWorker worker) {
		return worker.entry().draining() ? UnavailabilityRegistry.NEVER : this.limit.acceptsInMs(worker.entry());
	}

	Set<String> ids() {
		return this.workers.keySet();
	}

	Optional<PoolWorker> find(UpstreamEntry entry) {
		return Optional.ofNullable(this.workers.get(entry.incarnation()));
	}

	int available(long nowMs) {
		return callable(nowMs).size();
	}

	// Fast workers come first, and among those the one with most room for results.
	List<PoolWorker> idle(PoolSpec spec, ResultMemory room, int waiting, long nowMs) {
		List<PoolWorker> idle = new ArrayList<>();
		Collection<PoolWorker> callable = callable(nowMs);
		double fastest = callable.stream().mapToDouble(PoolWorker::pace).min().orElse(1);
		for (PoolWorker worker : callable) {
			boolean slow = worker.pace() > fastest * SLOW_PACE && waiting <= backlogForSlow(spec);
			if (worker.idle(spec.slots(), nowMs) && !slow) {
				idle.add(worker);
			}
		}
		idle.sort(Comparator.<PoolWorker>comparingLong((worker) -> Math.round(worker.pace() * PACE_STEPS))
			.thenComparingLong((worker) -> room.taken(worker.entry().incarnation())));
		return idle;
	}

	// A slow worker helps only where the others could not take what waits in one call
	// each.
	private int backlogForSlow(PoolSpec spec) {
		return spec.batch() * Math.max(this.workers.size() - 1, 1);
	}

}
