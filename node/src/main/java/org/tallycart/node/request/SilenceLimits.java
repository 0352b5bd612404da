package org.tallycart.node.request;

import org.tallycart.core.serving.RequestKind;
import org.tallycart.core.serving.Route;

/**
 * Times without a byte from an upstream after which another attempt is sought.
 *
 * @param initialMs the time until the first part of the reply, in milliseconds
 * @param subsequentMs the time between two parts, and between two searches, in
 * milliseconds
 */
record SilenceLimits(long initialMs, long subsequentMs) {

	/** Limit of a non-streaming request, as a multiple of its objective. */
	private static final long NON_STREAMING_FACTOR = 2;

	/** Least limit of a non-streaming request, in milliseconds. */
	private static final long MIN_NON_STREAMING_MS = 100;

	/** Limit for the first event of a stream, as a multiple of its objective. */
	private static final double FIRST_EVENT_FACTOR = 0.75;

	/** Least limit for a first event, in milliseconds; covers the queue of an engine. */
	private static final long MIN_FIRST_EVENT_MS = 1_200;

	/** Limit between events, as a multiple of the objective for their gap. */
	private static final double EVENT_GAP_FACTOR = 1.5;

	/** Least limit between events, in milliseconds. */
	private static final long MIN_EVENT_GAP_MS = 500;

	/**
	 * Return the limits for an attempt.
	 * @param route the route of the request
	 * @param started whether the caller has received part of the response
	 * @return the limits
	 */
	static SilenceLimits of(Route route, boolean started) {
		long objective = route.objectiveMs();
		if (route.kind() != RequestKind.STREAMING) {
			long limit = Math.max(objective * NON_STREAMING_FACTOR, MIN_NON_STREAMING_MS);
			return new SilenceLimits(limit, limit);
		}
		long subsequent = Math.max((long) (route.gapObjectiveMs() * EVENT_GAP_FACTOR), MIN_EVENT_GAP_MS);
		long initial = Math.max((long) (objective * FIRST_EVENT_FACTOR), MIN_FIRST_EVENT_MS);
		return new SilenceLimits(started ? subsequent : initial, subsequent);
	}

}
