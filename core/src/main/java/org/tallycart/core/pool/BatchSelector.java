package org.tallycart.core.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.tallycart.core.serving.PoolSpec;

/**
 * Selects the pieces of one call from a queue sorted by {@link QueueOrder}.
 * <p>
 * Pieces whose results are read together form a group and are not split across calls. The
 * exception is a call that would run with many empty places while the rest of the queue
 * would fill a call of each idle worker: the call is then filled with parts of the first
 * groups that did not fit, since a call has a fixed cost and partly filled calls lower
 * the pool's throughput.
 * <p>
 * A piece with a large cross-domain transfer goes to its preferred failure domain unless
 * it would miss its objective there, or its deadline once the objective cannot be met.
 * The selected pieces never exceed the worker's free result memory.
 * <p>
 * Not thread-safe: an instance covers one scheduling decision.
 */
final class BatchSelector {

	/**
	 * Time that a request needs after its last piece, in milliseconds: the prefill.
	 */
	private static final long PREFILL_MS = 300;

	/**
	 * Share of a call's places from which on no group is split to fill the call: split
	 * groups occupy result memory for longer. A call that is filled above this share
	 * loses little throughput to its fixed cost.
	 */
	private static final double MIN_FILL_SHARE = 0.75;

	private final PoolSpec spec;

	private final Collection<PoolWorker> workers;

	private final ResultMemory resultMemory;

	private final int idleWorkers;

	private final long nowMs;

	private final Map<String, Integer> deferredByDomain = new HashMap<>();

	BatchSelector(PoolSpec spec, Collection<PoolWorker> workers, ResultMemory resultMemory, int idleWorkers,
			long nowMs) {
		this.spec = spec;
		this.workers = workers;
		this.resultMemory = resultMemory;
		this.idleWorkers = idleWorkers;
		this.nowMs = nowMs;
	}

	private boolean canMeetObjective(PieceJob job) {
		return job.objectiveMs() >= this.nowMs + (long) this.spec.expectedMs(1) + PREFILL_MS;
	}

	List<PendingPiece> select(PoolWorker worker, List<PendingPiece> queue) {
		List<PendingPiece> selected = new ArrayList<>();
		Set<PendingPiece> seen = new HashSet<>();
		List<List<PendingPiece>> skipped = new ArrayList<>();
		long freeBytes = this.spec.resultMemoryBytes() - this.resultMemory.usedBytes(worker.entry().incarnation());
		this.deferredByDomain.clear();
		Map<StageKey, List<PendingPiece>> colocatedGroups = colocatedGroups(queue);
		for (PendingPiece first : queue) {
			if (selected.size() >= this.spec.batch()) {
				break;
			}
			if (!seen.add(first)) {
				continue;
			}
			List<PendingPiece> group = colocatedGroups.getOrDefault(StageKey.of(first), List.of(first));
			seen.addAll(group);
			List<PendingPiece> part = group.subList(0, Math.min(group.size(), this.spec.batch()));
			boolean fits = selected.size() + part.size() <= this.spec.batch() && resultBytes(part) <= freeBytes;
			if (!fits && part.size() > 1) {
				skipped.add(part);
			}
			else if (fits && canAssign(group, worker)) {
				freeBytes -= resultBytes(part);
				selected.addAll(part);
			}
		}
		boolean backlogged = queue.size() - selected.size() >= this.spec.batch() * this.idleWorkers;
		if (backlogged && selected.size() < this.spec.batch() * MIN_FILL_SHARE) {
			fillWithParts(selected, skipped, worker, freeBytes);
		}
		return selected;
	}

	private void fillWithParts(List<PendingPiece> selected, List<List<PendingPiece>> skipped, PoolWorker worker,
			long freeBytes) {
		long free = freeBytes;
		for (List<PendingPiece> group : skipped) {
			int places = this.spec.batch() - selected.size();
			if (places == 0) {
				return;
			}
			List<PendingPiece> part = group.subList(0, Math.min(group.size(), places));
			if (resultBytes(part) <= free && canAssign(part, worker)) {
				free -= resultBytes(part);
				selected.addAll(part);
			}
		}
	}

	private static long resultBytes(List<PendingPiece> group) {
		return group.stream().mapToLong((piece) -> piece.job().resultBytes()).sum();
	}

	private static Map<StageKey, List<PendingPiece>> colocatedGroups(List<PendingPiece> queue) {
		Map<StageKey, List<PendingPiece>> colocatedGroups = new HashMap<>();
		for (PendingPiece piece : queue) {
			if (piece.job().colocated()) {
				colocatedGroups.computeIfAbsent(StageKey.of(piece), (key) -> new ArrayList<>()).add(piece);
			}
		}
		return colocatedGroups;
	}

	private boolean canAssign(List<PendingPiece> group, PoolWorker worker) {
		return group.stream().allMatch((piece) -> piece.canRunAt(worker.entry().incarnation()))
				&& !isBetterInPreferredDomain(group.get(0), worker);
	}

	private boolean isBetterInPreferredDomain(PendingPiece piece, PoolWorker worker) {
		PieceJob job = piece.job();
		if (job.crossDomainBytes() < PieceJob.LARGE_TRANSFER_BYTES
				|| job.failureDomain().equals(worker.entry().failureDomain())) {
			return false;
		}
		Optional<PoolWorker> preferred = this.workers.stream()
			.filter((candidate) -> candidate.entry().failureDomain().equals(job.failureDomain()))
			.filter((candidate) -> candidate.isAvailable(this.nowMs) && piece.canRunAt(candidate.entry().incarnation()))
			.min(Comparator.comparingLong(PoolWorker::expectedFreeMs));
		if (preferred.isEmpty()
				|| this.deferredByDomain.merge(job.failureDomain(), 1, Integer::sum) > this.spec.batch()) {
			return false;
		}
		double completesAtMs = Math.max(preferred.get().expectedFreeMs(), this.nowMs)
				+ this.spec.expectedMs(this.spec.batch()) * preferred.get().slowdown();
		return completesAtMs + PREFILL_MS < (canMeetObjective(job) ? job.objectiveMs() : job.deadlineMs());
	}

	/**
	 * Identifies a stage of a request.
	 *
	 * @param requestId the id of the request
	 * @param stage the stage's index
	 */
	private record StageKey(String requestId, int stage) {

		static StageKey of(PendingPiece piece) {
			return new StageKey(piece.job().id().requestId(), piece.job().id().stage());
		}

	}

}
