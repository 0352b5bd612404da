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
 * Workers of a pool, and the choice of the worker for the next call.
 * <p>
 * Invariant: the state of a worker is kept as long as the worker is listed. Not
 * thread-safe: guarded by {@link PoolDispatcher}.
 */
final class PoolWorkers {

	/**
	 * A worker this many times slower than the fastest gets a call only for a large
	 * backlog.
	 */
	private static final double SLOW_WORKER_FACTOR = 1.8;

	/** Slowdowns are compared in steps of 1 / {@code SLOWDOWN_STEPS}, rounded. */
	private static final double SLOWDOWN_STEPS = 2;

	private final Map<String, PoolWorker> workers = new LinkedHashMap<>();

	private final CallLimiter callLimiter;

	PoolWorkers(CallLimiter callLimiter) {
		this.callLimiter = callLimiter;
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

	void setEvacuatedDomains(Set<String> failureDomains) {
		this.workers.values()
			.forEach((worker) -> worker.setEvacuated(failureDomains.contains(worker.entry().failureDomain())));
	}

	// Workers that accept a call now or as soon as they are idle.
	Collection<PoolWorker> acceptingWorkers(long nowMs) {
		return this.workers.values().stream().filter((worker) -> isAccepting(worker, nowMs)).toList();
	}

	private boolean isAccepting(PoolWorker worker, long nowMs) {
		return worker.isAvailable(nowMs) && acceptsInMs(worker) == 0 && this.callLimiter.mayCall(worker.entry());
	}

	// Returns the time until the first worker accepts calls, as stated by the workers;
	// NEVER if all are draining. Workers in evacuated domains are left out, since an
	// evacuation may be revoked at any time: 0 if there are no others.
	long acceptsInMs() {
		if (this.workers.isEmpty()) {
			return UnavailabilityRegistry.NEVER;
		}
		return this.workers.values()
			.stream()
			.filter((worker) -> !worker.isEvacuated())
			.mapToLong(this::acceptsInMs)
			.min()
			.orElse(0);
	}

	private long acceptsInMs(PoolWorker worker) {
		return worker.entry().draining() ? UnavailabilityRegistry.NEVER : this.callLimiter.acceptsInMs(worker.entry());
	}

	Set<String> incarnations() {
		return this.workers.keySet();
	}

	Optional<PoolWorker> find(UpstreamEntry entry) {
		return Optional.ofNullable(this.workers.get(entry.incarnation()));
	}

	// Counts the workers that are not draining, evacuated or backing off, including those
	// that pause for a moment.
	int servingCount() {
		return (int) this.workers.values()
			.stream()
			.filter((worker) -> !worker.isEvacuated() && acceptsInMs(worker) == 0)
			.count();
	}

	int acceptingCount(long nowMs) {
		return acceptingWorkers(nowMs).size();
	}

	// Returns when the workers that accept calls are expected to be free.
	long[] freeTimesMs(PoolSpec spec, long nowMs) {
		return acceptingWorkers(nowMs).stream()
			.mapToLong(
					(worker) -> worker.isIdle(spec.slots(), nowMs) ? nowMs : Math.max(worker.expectedFreeMs(), nowMs))
			.toArray();
	}

	// Sorts fast workers first, and equally fast ones by used result memory, the least
	// first.
	List<PoolWorker> idleWorkers(PoolSpec spec, ResultMemory resultMemory, int queuedPieces, long nowMs) {
		List<PoolWorker> idleWorkers = new ArrayList<>();
		Collection<PoolWorker> accepting = acceptingWorkers(nowMs);
		double fastest = accepting.stream().mapToDouble(PoolWorker::slowdown).min().orElse(1);
		for (PoolWorker worker : accepting) {
			boolean slow = worker.slowdown() > fastest * SLOW_WORKER_FACTOR && queuedPieces <= slowWorkerBacklog(spec);
			if (worker.isIdle(spec.slots(), nowMs) && !slow) {
				idleWorkers.add(worker);
			}
		}
		idleWorkers
			.sort(Comparator.<PoolWorker>comparingLong((worker) -> Math.round(worker.slowdown() * SLOWDOWN_STEPS))
				.thenComparingLong((worker) -> resultMemory.usedBytes(worker.entry().incarnation())));
		return idleWorkers;
	}

	// Pieces that the other workers can take with one call each.
	private int slowWorkerBacklog(PoolSpec spec) {
		return spec.batch() * Math.max(this.workers.size() - 1, 1);
	}

}
