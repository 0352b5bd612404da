package org.tallycart.core.pool;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How long pieces take at present, from the ask to the outcome, by pool and rank, as one
 * VM sees it. The dispatcher's queue is not looked at: what this VM's own pieces meet
 * tells the same without a message.
 * <p>
 * Invariant: pieces that are waited for are counted once. Not thread-safe: belongs to one
 * event loop.
 *
 * @since 0.1
 */
public final class PieceLatencyEstimator {

	/**
	 * What a piece takes where nothing is known, in milliseconds: a call and a short wait
	 * for it.
	 */
	public static final long USUAL_MS = 300;

	/**
	 * An outcome older than this says nothing, in milliseconds: bursts pass in seconds.
	 */
	private static final long RECENT_MS = 1_000;

	private final Map<PoolPriority, LatencyRecord> tracks = new HashMap<>();

	private final Map<PieceId, LatencyRecord> waitingIn = new HashMap<>();

	/**
	 * Take note that a piece was asked for.
	 * @param job the piece
	 * @param nowMs the steady clock
	 */
	public void onSubmitted(PieceJob job, long nowMs) {
		LatencyRecord track = this.tracks.computeIfAbsent(new PoolPriority(job.service(), job.priority()),
				(key) -> new LatencyRecord());
		if (this.waitingIn.putIfAbsent(job.id(), track) == null) {
			track.waiting.put(job.id(), nowMs);
		}
	}

	/**
	 * Take note that a piece has an outcome.
	 * @param id the piece
	 * @param nowMs the steady clock
	 */
	public void onOutcome(PieceId id, long nowMs) {
		LatencyRecord track = this.waitingIn.remove(id);
		Long askedMs = (track != null) ? track.waiting.remove(id) : null;
		if (track != null && askedMs != null) {
			track.lastMs = nowMs - askedMs;
			track.lastAtMs = nowMs;
		}
	}

	/**
	 * Take note that a piece is not waited for any more.
	 * @param id the piece
	 */
	public void onWithdrawn(PieceId id) {
		LatencyRecord track = this.waitingIn.remove(id);
		if (track != null) {
			track.waiting.remove(id);
		}
	}

	/**
	 * Return how long a piece that is asked for now will probably take.
	 * @param service its pool
	 * @param priority the request's rank
	 * @param nowMs the steady clock
	 * @return milliseconds
	 */
	public long expectedMs(String service, int priority, long nowMs) {
		LatencyRecord track = this.tracks.get(new PoolPriority(service, priority));
		if (track == null) {
			return USUAL_MS;
		}
		long oldestMs = track.waiting.values().stream().findFirst().map((askedMs) -> nowMs - askedMs).orElse(0L);
		long lastMs = (nowMs - track.lastAtMs <= RECENT_MS) ? track.lastMs : 0;
		return Math.max(USUAL_MS, Math.max(oldestMs, lastMs));
	}

	/**
	 * What pieces are told apart by.
	 *
	 * @param service the pool
	 * @param priority the request's rank
	 */
	private record PoolPriority(String service, int priority) {
	}

	/** Pieces of one rank in one pool. */
	private static final class LatencyRecord {

		// In the order in which they were asked for.
		private final Map<PieceId, Long> waiting = new LinkedHashMap<>();

		private long lastMs;

		private long lastAtMs = Long.MIN_VALUE / 2;

	}

}
