package org.tallycart.node.request;

import org.tallycart.core.pool.PieceOutcome;
import org.tallycart.core.upstream.UnavailabilityRegistry;

/**
 * Tells when the caller of a request that does not run may come again.
 * <p>
 * Not thread-safe: belongs to the event loop.
 */
final class RetryAfterPolicy {

	/** After its pool was too busy, in milliseconds. */
	static final long BUSY_MS = 400;

	/** After no upstream could be reached, in milliseconds. */
	static final long UNREACHABLE_MS = 250;

	/**
	 * Where all upstreams leave, in milliseconds: others that take their place are listed
	 * within about a heartbeat.
	 */
	private static final long LEAVING_MS = 1_000;

	/**
	 * Callers that wait for the same upstreams to rest come back over this time, in
	 * milliseconds, since together they would be as many as the upstreams could not bear.
	 */
	private static final int SPREAD_MS = 500;

	private final ServingContext serving;

	private final RequestPlan plan;

	RetryAfterPolicy(ServingContext serving, RequestPlan plan) {
		this.serving = serving;
		this.plan = plan;
	}

	/**
	 * Return when the first upstream of the request takes requests, by their own words.
	 * @return milliseconds; 0 if one takes them now
	 */
	long acceptsInMs() {
		return this.serving.directory().acceptsInMs(this.plan.service(), this.serving.loop().nowMs());
	}

	/**
	 * Return when to come again, whatever has failed.
	 * @return milliseconds
	 */
	long againInMs() {
		long acceptsInMs = acceptsInMs();
		if (acceptsInMs == 0) {
			return UNREACHABLE_MS;
		}
		return (acceptsInMs == UnavailabilityRegistry.NEVER) ? LEAVING_MS : afterRestMs(acceptsInMs);
	}

	/**
	 * Return when to come again after stage work that was not made.
	 * @param outcome why it was not
	 * @return milliseconds
	 */
	long afterPieceMs(PieceOutcome outcome) {
		return (outcome.status() == PieceOutcome.Status.NO_WORKER) ? afterRestMs(outcome.retryAfterMs()) : BUSY_MS;
	}

	private long afterRestMs(long restMs) {
		return Math.max(restMs, UNREACHABLE_MS) + Math.floorMod(this.plan.request().id().hashCode(), SPREAD_MS);
	}

}
