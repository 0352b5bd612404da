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
 * Pieces whose results are read together are kept together. A piece with much to move is
 * made in the failure domain where it is wanted, unless that makes it late. No more is
 * chosen than the worker has room for.
 * <p>
 * Not thread-safe: made for one choice.
 */
final class CallChooser {

	/**
	 * What a request still needs after its last piece, in milliseconds: reading its
	 * prompt.
	 */
	private static final long MARGIN_MS = 300;

	private final PoolSpec spec;

	private final Collection<PoolWorker> workers;

	private final ResultRoom room;

	private final long nowMs;

	private final Map<String, Integer> leftToOthers = new HashMap<>();

	CallChooser(PoolSpec spec, Collection<PoolWorker> workers, ResultRoom room, long nowMs) {
		this.spec = spec;
		this.workers = workers;
		this.room = room;
		this.nowMs = nowMs;
	}

	private boolean canBeOnTime(PieceJob job) {
		return job.objectiveMs() >= this.nowMs + (long) this.spec.expectedMs(1) + MARGIN_MS;
	}

	List<Waiting> choose(PoolWorker worker, List<Waiting> queue) {
		List<Waiting> chosen = new ArrayList<>();
		Set<Waiting> seen = new HashSet<>();
		long roomLeft = this.spec.roomBytes() - this.room.taken(worker.entry().id());
		this.leftToOthers.clear();
		Map<PieceStage, List<Waiting>> groups = groups(queue);
		for (Waiting first : queue) {
			if (chosen.size() >= this.spec.batch()) {
				break;
			}
			if (!seen.add(first)) {
				continue;
			}
			List<Waiting> group = groups.getOrDefault(PieceStage.of(first), List.of(first));
			seen.addAll(group);
			long bytes = group.stream().mapToLong((waiting) -> waiting.job().resultBytes()).sum();
			if (fits(group, chosen.size()) && bytes <= roomLeft && mayGo(group, worker)) {
				roomLeft -= bytes;
				chosen.addAll(group.subList(0, Math.min(group.size(), this.spec.batch())));
			}
		}
		return chosen;
	}

	private static Map<PieceStage, List<Waiting>> groups(List<Waiting> queue) {
		Map<PieceStage, List<Waiting>> groups = new HashMap<>();
		for (Waiting waiting : queue) {
			if (waiting.job().together()) {
				groups.computeIfAbsent(PieceStage.of(waiting), (key) -> new ArrayList<>()).add(waiting);
			}
		}
		return groups;
	}

	// A group that no call could hold is split; any other waits for a call with space for
	// it.
	private boolean fits(List<Waiting> group, int chosen) {
		return chosen + group.size() <= this.spec.batch() || chosen == 0;
	}

	private boolean mayGo(List<Waiting> group, PoolWorker worker) {
		return group.stream().allMatch((waiting) -> waiting.mayGoTo(worker.entry().id()))
				&& !betterElsewhere(group.get(0), worker);
	}

	private boolean betterElsewhere(Waiting waiting, PoolWorker worker) {
		PieceJob job = waiting.job();
		if (job.movedBytes() < PieceJob.MUCH_MOVED_BYTES
				|| job.failureDomain().equals(worker.entry().failureDomain())) {
			return false;
		}
		Optional<PoolWorker> home = this.workers.stream()
			.filter((other) -> other.entry().failureDomain().equals(job.failureDomain()))
			.filter((other) -> other.available(this.nowMs) && waiting.mayGoTo(other.entry().id()))
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
	private record PieceStage(String requestId, int stage) {

		static PieceStage of(Waiting waiting) {
			return new PieceStage(waiting.job().id().requestId(), waiting.job().id().stage());
		}

	}

}
