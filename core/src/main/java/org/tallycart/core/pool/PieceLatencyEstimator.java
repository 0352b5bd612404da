package org.tallycart.core.pool;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Estimates the time from the submission of a piece to its outcome, by pool and priority,
 * from the pieces that this VM has submitted: from the latest-submitted piece that was
 * completed within the last second, and from pending pieces that were submitted after it.
 * The dispatcher, which may run on another VM, is not queried.
 * <p>
 * Invariant: a pending piece is counted once. Not thread-safe: confined to one event
 * loop.
 *
 * @since 0.1
 */
public final class PieceLatencyEstimator {

	/**
	 * Estimate without recent outcomes, in milliseconds: a call and a short wait for it.
	 */
	public static final long DEFAULT_MS = 300;

	/**
	 * Least time to plan for a later stage, in milliseconds: its pieces arrive together
	 * with those of other requests, so that they wait for a call more often than not.
	 */
	public static final long MIN_LATER_STAGE_MS = 400;

	/**
	 * Age up to which an outcome is used, in milliseconds.
	 */
	private static final long MAX_OUTCOME_AGE_MS = 1_000;

	private final Map<PoolPriority, LatencyRecord> records = new HashMap<>();

	private final Map<PieceId, Submission> pending = new HashMap<>();

	/**
	 * Record the submission of a piece.
	 * @param job the piece
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 */
	public void onSubmitted(PieceJob job, long nowMs) {
		LatencyRecord record = this.records.computeIfAbsent(new PoolPriority(job.service(), job.priority()),
				(key) -> new LatencyRecord());
		if (this.pending.putIfAbsent(job.id(), new Submission(record, nowMs)) == null) {
			record.notOvertaken.put(job.id(), nowMs);
		}
	}

	/**
	 * Record the outcome of a piece. Only a completed piece tells how long others take.
	 * @param id the piece
	 * @param outcome the outcome
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 */
	public void onOutcome(PieceId id, PieceOutcome outcome, long nowMs) {
		Submission submission = remove(id);
		if (submission != null && outcome.status() == PieceOutcome.Status.MADE) {
			submission.record().onCompleted(submission.atMs(), nowMs);
		}
	}

	/**
	 * Record the withdrawal of a piece.
	 * @param id the piece
	 */
	public void onWithdrawn(PieceId id) {
		remove(id);
	}

	private @Nullable Submission remove(PieceId id) {
		Submission submission = this.pending.remove(id);
		if (submission != null) {
			submission.record().notOvertaken.remove(id);
		}
		return submission;
	}

	/**
	 * Return the expected time from submission to outcome of a piece submitted now.
	 * @param service the name of the pool
	 * @param priority the request's priority
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 * @return milliseconds
	 */
	public long expectedMs(String service, int priority, long nowMs) {
		LatencyRecord record = this.records.get(new PoolPriority(service, priority));
		if (record == null) {
			return DEFAULT_MS;
		}
		return Math.max(DEFAULT_MS, record.expectedMs(nowMs));
	}

	/**
	 * Return the time to plan for a stage that starts after others.
	 * @param service the name of the pool
	 * @param priority the request's priority
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 * @return milliseconds; the current estimate, with a lower bound
	 */
	public long laterStageMs(String service, int priority, long nowMs) {
		return Math.max(MIN_LATER_STAGE_MS, expectedMs(service, priority, nowMs));
	}

	/**
	 * Key by which latencies are recorded.
	 *
	 * @param service the name of the pool
	 * @param priority the request's priority
	 */
	private record PoolPriority(String service, int priority) {
	}

	/**
	 * Submission of a pending piece.
	 *
	 * @param record the record of its pool and priority
	 * @param atMs the time of submission, on the monotonic clock, in milliseconds
	 */
	private record Submission(LatencyRecord record, long atMs) {
	}

	/** Latencies of one priority in one pool. */
	private static final class LatencyRecord {

		// Submission times, in the order of submission, of the pending pieces that were
		// submitted after every completed one. A dispatcher defers late pieces behind
		// newer ones, so the age of an overtaken piece is not what a new piece meets.
		private final Map<PieceId, Long> notOvertaken = new LinkedHashMap<>();

		// Times of the latest-submitted piece that was completed.
		private long submittedMs = Long.MIN_VALUE / 2;

		private long completedMs = Long.MIN_VALUE / 2;

		void onCompleted(long startMs, long nowMs) {
			if (startMs < this.submittedMs) {
				return;
			}
			this.submittedMs = startMs;
			this.completedMs = nowMs;
			Iterator<Long> oldest = this.notOvertaken.values().iterator();
			while (oldest.hasNext() && oldest.next() <= startMs) {
				oldest.remove();
			}
		}

		long expectedMs(long nowMs) {
			Iterator<Long> oldest = this.notOvertaken.values().iterator();
			long pendingMs = oldest.hasNext() ? nowMs - oldest.next() : 0;
			boolean recent = nowMs - this.completedMs <= MAX_OUTCOME_AGE_MS;
			return Math.max(pendingMs, recent ? this.completedMs - this.submittedMs : 0);
		}

	}

}
