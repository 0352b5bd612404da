package org.tallycart.core.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

import org.tallycart.core.serving.PoolSpec;

/**
 * The order in which a pool's waiting pieces are made.
 * <p>
 * Those that are needed first come first, as long as all can be on time: then nobody
 * gains by being served earlier. Where a piece would be late, the least urgent of those
 * before it, or it itself, gives way and comes after all that can be on time (Moore and
 * Hodgson's rule for the fewest late jobs, with ranks in place of lengths).
 * <p>
 * The order protects the least urgent kind from waiting behind all others, and the limit
 * on late work protects what can still be on time when a pool loses workers.
 * <p>
 * Not thread-safe: made for one choice.
 */
final class QueueOrder {

	private static final Comparator<PendingPiece> BY_TIME = Comparator
		.comparingLong((waiting) -> waiting.job().objectiveMs());

	// Among the late, what has inputs is ended before what would begin.
	private static final Comparator<PendingPiece> BY_RANK = Comparator
		.<PendingPiece>comparingInt((waiting) -> waiting.job().priority())
		.thenComparingInt((waiting) -> waiting.job().inputs().isEmpty() ? 1 : 0)
		.thenComparing(BY_TIME);

	/**
	 * Late work that is kept, in milliseconds of all workers' time: it is made in the
	 * time that is left over, which is half of a quiet pool's.
	 */
	private static final double MOST_LATE_WORK_MS = 1_000;

	private final PoolSpec spec;

	private final int workers;

	private final long nowMs;

	QueueOrder(PoolSpec spec, int workers, long nowMs) {
		this.spec = spec;
		this.workers = Math.max(workers, 1);
		this.nowMs = nowMs;
	}

	List<PendingPiece> of(Collection<PendingPiece> queue) {
		List<PendingPiece> byTime = byTime(queue);
		Set<PendingPiece> givingWay = givingWay(byTime);
		List<PendingPiece> ordered = new ArrayList<>(byTime);
		ordered.removeIf(givingWay::contains);
		givingWay.stream().sorted(BY_RANK).forEach(ordered::add);
		return ordered;
	}

	/**
	 * Find the pieces that are not worth keeping: they will be late, nothing of their
	 * request is made yet, and more late work comes before them than the pool has time
	 * for.
	 * @param queue what waits
	 * @return the pieces
	 */
	List<PendingPiece> tooMuch(Collection<PendingPiece> queue) {
		List<PendingPiece> late = givingWay(byTime(queue)).stream().sorted(BY_RANK).toList();
		int kept = (int) (MOST_LATE_WORK_MS * this.workers * this.spec.batch()
				/ this.spec.expectedMs(this.spec.batch()));
		return late.stream().skip(kept).filter((waiting) -> waiting.job().inputs().isEmpty()).toList();
	}

	private static List<PendingPiece> byTime(Collection<PendingPiece> queue) {
		List<PendingPiece> byTime = new ArrayList<>(queue);
		byTime.sort(BY_TIME);
		return byTime;
	}

	private Set<PendingPiece> givingWay(List<PendingPiece> byTime) {
		Set<PendingPiece> givingWay = new HashSet<>();
		PriorityQueue<PendingPiece> kept = new PriorityQueue<>(BY_RANK.reversed());
		for (PendingPiece waiting : byTime) {
			kept.add(waiting);
			if (madeMs(kept.size()) > waiting.job().objectiveMs()) {
				givingWay.add(kept.remove());
			}
		}
		return givingWay;
	}

	// When the last of so many pieces is made, if the workers take full calls in turn.
	private double madeMs(int pieces) {
		double callMs = this.spec.expectedMs(Math.min(pieces, this.spec.batch()));
		int callsBefore = (pieces - 1) / this.spec.batch();
		return this.nowMs + callMs + callsBefore * callMs / this.workers;
	}

}
