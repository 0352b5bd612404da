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
 * Chooses the pieces of one call from a queue that {@link QueueOrder} has put in order.
 * <p>
 * Pieces whose results are read together are kept together, unless that would leave many
 * places of the call empty while more pieces wait than full calls of all idle workers
 * hold: then the first that did not fit fill it up. A call costs a fixed time whatever it
 * holds, so a pool whose groups do not divide its calls would otherwise stay at a part of
 * its rate for as long as its queue is long: at 0.74 with groups of 6 and calls of 10.
 * <p>
 * A piece with much to move is made in the failure domain where it is wanted, unless that
 * makes it late. No more is chosen than the worker has room for.
 * <p>
 * Not thread-safe: made for one choice.
 */
final class BatchSelector {

	/**
	 * What a request still needs after its last piece, in milliseconds: reading its
	 * prompt.
	 */
	private static final long MARGIN_MS = 300;

	/**
	 * Share of a call's places from which on groups are not split to fill it. The call's
	 * fixed time makes a pool at three quarters lose 0.15 of its rate, and at 0.85 some
	 * 0.07, which the larger room that split groups hold takes again: in a pool with
	 * groups of 6 and calls of 14, filling raised the pieces that find no room threefold.
	 */
	private static final double FULL_ENOUGH = 0.75;

	private final PoolSpec spec;

	private final Collection<PoolWorker> workers;

	private final ResultMemory room;

	private final int idle;

	private final long nowMs;

	private final Map<String, Integer> leftToOthers = new HashMap<>();

	BatchSelector(PoolSpec spec, Collection<PoolWorker> workers, ResultMemory room, int idle, long nowMs) {
		this.spec = spec;
		this.workers = workers;
		this.room = room;
		this.idle = idle;
		this.nowMs = nowMs;
	}

	private boolean canBeOnTime(PieceJob job) {
		return job.objectiveMs() >= this.nowMs + (long) this.spec.expectedMs(1) + MARGIN_MS;
	}

	List<PendingPiece> choose(PoolWorker worker, List<PendingPiece> queue) {
		List<PendingPiece> chosen = new ArrayList<>();
		Set<PendingPiece> seen = new HashSet<>();
		List<List<PendingPiece>> left = new ArrayList<>();
		long roomLeft = this.spec.resultMemoryBytes() - this.room.taken(worker.entry().incarnation());
		this.leftToOthers.clear();
		Map<StageKey, List<PendingPiece>> groups = groups(queue);
		for (PendingPiece first : queue) {
			if (chosen.size() >= this.spec.batch()) {
				break;
			}
			if (!seen.add(first)) {
				continue;
			}
			List<PendingPiece> group = groups.getOrDefault(StageKey.of(first), List.of(first));
			seen.addAll(group);
			List<PendingPiece> wanted = group.subList(0, Math.min(group.size(), this.spec.batch()));
			boolean fits = chosen.size() + wanted.size() <= this.spec.batch() && bytes(wanted) <= roomLeft;
			if (!fits && wanted.size() > 1) {
				left.add(wanted);
			}
			else if (fits && mayGo(group, worker)) {
				roomLeft -= bytes(wanted);
				chosen.addAll(wanted);
			}
		}
		boolean muchWaits = queue.size() - chosen.size() >= this.spec.batch() * this.idle;
		if (muchWaits && chosen.size() < this.spec.batch() * FULL_ENOUGH) {
			fill(chosen, left, worker, roomLeft);
		}
		return chosen;
	}

	private void fill(List<PendingPiece> chosen, List<List<PendingPiece>> left, PoolWorker worker, long roomLeft) {
		long room = roomLeft;
		for (List<PendingPiece> group : left) {
			int places = this.spec.batch() - chosen.size();
			if (places == 0) {
				return;
			}
			List<PendingPiece> part = group.subList(0, Math.min(group.size(), places));
			if (bytes(part) <= room && mayGo(part, worker)) {
				room -= bytes(part);
				chosen.addAll(part);
			}
		}
	}

	private static long bytes(List<PendingPiece> group) {
		return group.stream().mapToLong((waiting) -> waiting.job().resultBytes()).sum();
	}

	private static Map<StageKey, List<PendingPiece>> groups(List<PendingPiece> queue) {
		Map<StageKey, List<PendingPiece>> groups = new HashMap<>();
		for (PendingPiece waiting : queue) {
			if (waiting.job().colocated()) {
				groups.computeIfAbsent(StageKey.of(waiting), (key) -> new ArrayList<>()).add(waiting);
			}
		}
		return groups;
	}

	private boolean mayGo(List<PendingPiece> group, PoolWorker worker) {
		return group.stream().allMatch((waiting) -> waiting.mayGoTo(worker.entry().incarnation()))
				&& !betterElsewhere(group.get(0), worker);
	}

	private boolean betterElsewhere(PendingPiece waiting, PoolWorker worker) {
		PieceJob job = waiting.job();
		if (job.crossDomainBytes() < PieceJob.MUCH_MOVED_BYTES
				|| job.failureDomain().equals(worker.entry().failureDomain())) {
			return false;
		}
		Optional<PoolWorker> home = this.workers.stream()
			.filter((other) -> other.entry().failureDomain().equals(job.failureDomain()))
			.filter((other) -> other.available(this.nowMs) && waiting.mayGoTo(other.entry().incarnation()))
			.min(Comparator.comparingLong(PoolWorker::expectedFreeMs));
		if (home.isEmpty() || this.leftToOthers.merge(job.failureDomain(), 1, Integer::sum) > this.spec.batch()) {
			return false;
		}
		double readyAt = Math.max(home.get().expectedFreeMs(), this.nowMs)
				+ this.spec.expectedMs(this.spec.batch()) * home.get().pace();
		return readyAt + MARGIN_MS < (canBeOnTime(job) ? job.objectiveMs() : job.deadlineMs());
	}

	/**
	 * A stage of a request.
	 *
	 * @param requestId the request
	 * @param stage the stage's number
	 */
	private record StageKey(String requestId, int stage) {

		static StageKey of(PendingPiece waiting) {
			return new StageKey(waiting.job().id().requestId(), waiting.job().id().stage());
		}

	}

}
