package org.tallycart.core.pool;

import java.util.Collection;
import java.util.TreeMap;

import org.tallycart.core.serving.PoolSpec;

/**
 * Time in which a pool works off its queue, by priority, if its workers take full calls.
 * <p>
 * Not thread-safe: an instance covers one scheduling decision.
 */
final class QueueDrain {

	private final TreeMap<Integer, Integer> piecesByPriority = new TreeMap<>();

	private final double callMs;

	private final double pieceMs;

	QueueDrain(PoolSpec spec, int workers, Collection<PendingPiece> queue) {
		this.callMs = spec.expectedMs(spec.batch());
		this.pieceMs = this.callMs / spec.batch() / Math.max(workers, 1);
		queue.forEach((piece) -> this.piecesByPriority.merge(piece.job().priority(), 1, Integer::sum));
	}

	// Time per piece at the pool's rate, in milliseconds.
	double pieceMs() {
		return this.pieceMs;
	}

	// Time until the pieces of a priority and of more urgent ones have been worked off,
	// in milliseconds; at least one call, since calls are in progress.
	double drainMs(int priority) {
		int pieces = this.piecesByPriority.headMap(priority, true).values().stream().mapToInt(Integer::intValue).sum();
		return Math.max(pieces * this.pieceMs, this.callMs);
	}

}
