package org.tallycart.node.request;

import org.tallycart.core.pool.PieceOutcome;
import org.tallycart.core.upstream.UnavailabilityRegistry;

/**
 * Computes Retry-After values for requests that have not run.
 * <p>
 * Not thread-safe: confined to the event loop.
 */
final class RetryAfterPolicy {

	/** Delay after a stage failed without a time for a retry, in milliseconds. */
	static final long BUSY_MS = 400;

	/** Upper bound of the delay after a stage pool was overloaded, in milliseconds. */
	static final long MAX_BUSY_MS = 3_000;

	/** Delay after no upstream could be reached, in milliseconds. */
	static final long UNREACHABLE_MS = 250;

	/**
	 * Delay while all upstreams drain, in milliseconds; their replacements are listed
	 * within about one heartbeat.
	 */
	private static final long DRAINING_MS = 1_000;

	/**
	 * Interval over which retries are spread, in milliseconds, so that callers do not all
	 * return at the end of an upstream's backoff, or when a pool has capacity again.
	 */
	private static final int JITTER_MS = 500;

	/**
	 * Longest delay after a pool had too much late work, in milliseconds: the work is
	 * dropped when its callers leave, so more of it does not last longer.
	 */
	private static final long MAX_LATE_WORK_DELAY_MS = 2_000;

	private final CandidateUpstreams candidates;

	private final RequestPlan plan;

	RetryAfterPolicy(CandidateUpstreams candidates, RequestPlan plan) {
		this.candidates = candidates;
		this.plan = plan;
	}

	/**
	 * Return when the first candidate accepts requests, as stated by the upstreams.
	 * @return milliseconds from now; 0 if one accepts requests now,
	 * {@link UnavailabilityRegistry#NEVER} if all drain
	 */
	long acceptsInMs() {
		return this.candidates.acceptsInMs();
	}

	/**
	 * Return why no upstream accepts the request.
	 * @return the reason
	 */
	String unavailableReason() {
		return this.plan.softwareVersion()
			.map((version) -> "no upstream of software version " + version + ", which began the stream, is available")
			.orElse("all upstreams of the service are in backoff or draining");
	}

	/**
	 * Return the delay for failures that have no delay of their own.
	 * @return milliseconds
	 */
	long retryAfterMs() {
		long acceptsInMs = acceptsInMs();
		if (acceptsInMs == 0) {
			return UNREACHABLE_MS;
		}
		return (acceptsInMs == UnavailabilityRegistry.NEVER) ? DRAINING_MS : afterBackoffMs(acceptsInMs);
	}

	/**
	 * Return the delay after a stage failed.
	 * @param outcome the outcome of the piece that failed
	 * @return milliseconds
	 */
	long afterStageFailureMs(PieceOutcome outcome) {
		return switch (outcome.status()) {
			case NO_WORKER -> afterBackoffMs(outcome.retryAfterMs());
			case LATE -> (outcome.retryAfterMs() > 0) ? Math.min(outcome.retryAfterMs(), MAX_BUSY_MS) : BUSY_MS;
			case MADE, INPUT_GONE, NO_ROOM, FAILED -> BUSY_MS;
		};
	}

	/**
	 * Return the delay after a request was rejected on arrival, since its stages would
	 * complete late. The pools are expected to have worked off the excess by then.
	 * @param latenessMs by how much the request would miss its time, in milliseconds
	 * @return milliseconds
	 */
	long afterLatenessMs(long latenessMs) {
		return Math.min(latenessMs + BUSY_MS, MAX_BUSY_MS - JITTER_MS) + jitterMs();
	}

	/**
	 * Return the delay after a pool had too much late work.
	 * @param lateWorkMs the late work, in milliseconds of all workers' time
	 * @return milliseconds
	 */
	long afterLateWorkMs(long lateWorkMs) {
		return afterBackoffMs(Math.min(lateWorkMs, MAX_LATE_WORK_DELAY_MS));
	}

	private long afterBackoffMs(long backoffMs) {
		return Math.max(backoffMs, UNREACHABLE_MS) + jitterMs();
	}

	private int jitterMs() {
		return Math.floorMod(this.plan.request().id().hashCode(), JITTER_MS);
	}

}
