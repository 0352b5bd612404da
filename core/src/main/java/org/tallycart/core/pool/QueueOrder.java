package org.tallycart.core.pool;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntToDoubleFunction;

import org.tallycart.core.serving.PoolSpec;

/**
 * Processing order of a pool's queued pieces.
 * <p>
 * Pieces are sorted by objective, the earliest first, as long as all of them can meet it.
 * If a piece would be late, the least urgent piece up to and including it is deferred and
 * sorted behind all pieces that can be on time. This is the Moore-Hodgson algorithm for
 * the fewest late jobs, with priorities in place of job lengths.
 * <p>
 * If pieces of several workspaces are queued, or requests that have returned after a
 * rejection, whole requests are deferred and shed, as {@link FairDeferral} selects them.
 * <p>
 * Sorting by objective keeps low priorities from starving, and the limit on late work
 * protects pieces that can still be on time when a pool loses workers.
 * <p>
 * Not thread-safe: an instance covers one scheduling decision.
 */
final class QueueOrder {

	private static final Comparator<PendingPiece> BY_OBJECTIVE = Comparator
		.comparingLong((piece) -> piece.job().objectiveMs());

	// Among late pieces of a priority, those with inputs come first, so that started
	// requests finish.
	private static final Comparator<PendingPiece> BY_PRIORITY = Comparator
		.<PendingPiece>comparingInt((piece) -> piece.job().priority())
		.thenComparingInt((piece) -> piece.job().inputs().isEmpty() ? 1 : 0)
		.thenComparing(BY_OBJECTIVE);

	/**
	 * Late work that is kept in the queue, in milliseconds of each worker's time. It is
	 * processed in spare capacity, which is about half of that of a lightly loaded pool.
	 */
	private static final double MAX_LATE_WORK_MS = 1_000;

	/**
	 * Time by which requests should be early where workspaces share the pool, as a share
	 * of a full call. Under lasting overload, the requests served are those that just
	 * count as on time, so that without a margin messages and variations of a call's
	 * duration make most of them late.
	 */
	private static final double MARGIN_SHARE = 0.5;

	private final PoolSpec spec;

	private final int workers;

	private final long nowMs;

	private final Map<String, Double> use;

	private final CallSchedule schedule;

	QueueOrder(PoolSpec spec, int workers, long nowMs) {
		this(spec, workers, nowMs, Map.of(), new CallSchedule(spec, repeat(nowMs, workers), nowMs));
	}

	/**
	 * Create an order.
	 * @param spec the capacity of a worker
	 * @param workers the number of workers
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 * @param use the recent use of the pool by workspace, in requests
	 * @param schedule when the workers are expected to be free
	 */
	QueueOrder(PoolSpec spec, int workers, long nowMs, Map<String, Double> use, CallSchedule schedule) {
		this.spec = spec;
		this.workers = Math.max(workers, 1);
		this.nowMs = nowMs;
		this.use = use;
		this.schedule = schedule;
	}

	private static long[] repeat(long timeMs, int count) {
		long[] times = new long[count];
		Arrays.fill(times, timeMs);
		return times;
	}

	List<PendingPiece> sort(Collection<PendingPiece> queue) {
		List<PendingPiece> byObjective = byObjective(queue);
		Collection<PendingPiece> deferred = deferred(byObjective);
		if (deferred.isEmpty()) {
			return byObjective;
		}
		Set<PendingPiece> late = new HashSet<>(deferred);
		List<PendingPiece> ordered = new ArrayList<>(byObjective);
		ordered.removeIf(late::contains);
		ordered.addAll(deferred);
		return ordered;
	}

	/**
	 * Return the pieces that are processed in spare capacity, since not all queued ones
	 * can be on time.
	 * @param queue the queued pieces
	 * @return the deferred pieces in processing order
	 */
	List<PendingPiece> deferred(Collection<PendingPiece> queue) {
		return deferred(byObjective(queue));
	}

	/**
	 * Find the excess pieces: they will be late, have no inputs, and come behind as much
	 * late work as the pool keeps. If requests are treated as a whole, those of which no
	 * piece has inputs and no piece is among the work that is kept.
	 * @param queue the queued pieces
	 * @param deferred those that {@link #deferred} has returned
	 * @return the pieces to shed
	 */
	List<PendingPiece> findExcess(Collection<PendingPiece> queue, List<PendingPiece> deferred) {
		int kept = (int) (MAX_LATE_WORK_MS * this.workers * this.spec.batch()
				/ this.spec.expectedMs(this.spec.batch()));
		List<PendingPiece> excess = deferred.stream()
			.skip(kept)
			.filter((piece) -> piece.job().inputs().isEmpty())
			.toList();
		if (excess.isEmpty() || !needsShares(queue)) {
			return excess;
		}
		Set<String> keptRequests = new HashSet<>();
		for (int i = 0; i < deferred.size(); i++) {
			PieceJob job = deferred.get(i).job();
			if (i < kept || !job.inputs().isEmpty()) {
				keptRequests.add(job.id().requestId());
			}
		}
		return excess.stream().filter((piece) -> !keptRequests.contains(piece.job().id().requestId())).toList();
	}

	private static boolean needsShares(Collection<PendingPiece> queue) {
		String first = queue.isEmpty() ? "" : queue.iterator().next().job().workspace();
		for (PendingPiece piece : queue) {
			if (piece.isReturned() || !piece.job().workspace().equals(first)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Return the queued work of each priority.
	 * @param queue the queued pieces
	 * @return the priorities that have any work, the most urgent first
	 */
	List<PoolLoad.PriorityLoad> load(Collection<PendingPiece> queue) {
		Set<PendingPiece> deferred = new HashSet<>(deferred(byObjective(queue)));
		Map<Integer, List<PendingPiece>> byPriority = new TreeMap<>();
		queue.forEach((piece) -> byPriority.computeIfAbsent(piece.job().priority(), (priority) -> new ArrayList<>())
			.add(piece));
		List<PoolLoad.PriorityLoad> loads = new ArrayList<>();
		byPriority.forEach((priority, pieces) -> loads.add(load(priority, pieces, deferred)));
		return loads;
	}

	private PoolLoad.PriorityLoad load(int priority, List<PendingPiece> pieces, Set<PendingPiece> deferred) {
		int late = 0;
		Set<String> lateWorkspaces = new HashSet<>();
		for (PendingPiece piece : pieces) {
			if (deferred.contains(piece)) {
				late++;
				if (lateWorkspaces.size() < PoolLoad.PriorityLoad.MAX_LATE_WORKSPACES) {
					lateWorkspaces.add(piece.job().workspace());
				}
			}
		}
		double pieceMs = this.spec.expectedMs(this.spec.batch()) / this.spec.batch() / this.workers;
		return new PoolLoad.PriorityLoad(priority, Math.round((pieces.size() - late) * pieceMs),
				Math.round(late * pieceMs), lateWorkspaces);
	}

	private static List<PendingPiece> byObjective(Collection<PendingPiece> queue) {
		List<PendingPiece> byObjective = new ArrayList<>(queue);
		byObjective.sort(BY_OBJECTIVE);
		return byObjective;
	}

	private List<PendingPiece> deferred(List<PendingPiece> byObjective) {
		boolean shared = needsShares(byObjective);
		if (canAllBeOnTime(byObjective, shared ? this.schedule::completionMs : this::completionMs)) {
			return List.of();
		}
		if (shared) {
			return new FairDeferral(this.schedule::completionMs, MARGIN_SHARE * this.spec.expectedMs(this.spec.batch()),
					new HashMap<>(this.use))
				.deferred(byObjective)
				.stream()
				.flatMap((request) -> request.pieces().stream())
				.toList();
		}
		List<PendingPiece> deferred = new ArrayList<>();
		PriorityQueue<PendingPiece> kept = new PriorityQueue<>(BY_PRIORITY.reversed());
		for (PendingPiece piece : byObjective) {
			kept.add(piece);
			if (completionMs(kept.size()) > piece.job().objectiveMs()) {
				deferred.add(kept.remove());
			}
		}
		deferred.sort(BY_PRIORITY);
		return deferred;
	}

	private static boolean canAllBeOnTime(List<PendingPiece> byObjective, IntToDoubleFunction completionMs) {
		for (int i = 0; i < byObjective.size(); i++) {
			if (completionMs.applyAsDouble(i + 1) > byObjective.get(i).job().objectiveMs()) {
				return false;
			}
		}
		return true;
	}

	// Estimated time at which the last of the pieces completes, if the workers take full
	// calls in turn.
	private double completionMs(int pieces) {
		double callMs = this.spec.expectedMs(Math.min(pieces, this.spec.batch()));
		int callsBefore = (pieces - 1) / this.spec.batch();
		return this.nowMs + callMs + callsBefore * callMs / this.workers;
	}

}
