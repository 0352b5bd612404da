package org.tallycart.node.request;

import org.tallycart.core.serving.RequestKind;
import org.tallycart.core.serving.Route;

/**
 * Idle timeouts after which a repeatable request is retried at another upstream.
 *
 * @param initialMs the timeout until the first part of the reply, in milliseconds
 * @param subsequentMs the timeout between two parts, in milliseconds
 */
record IdleTimeouts(long initialMs, long subsequentMs) {

	/** Timeout of a non-streaming request, as a multiple of its objective. */
	private static final long NON_STREAMING_FACTOR = 2;

	/** Timeout for the first event of a stream, as a multiple of its objective. */
	private static final double FIRST_EVENT_FACTOR = 0.75;

	/**
	 * Least timeout for a first event, in milliseconds; covers the queue of an engine.
	 */
	private static final long MIN_FIRST_EVENT_MS = 1_200;

	/** Timeout between events, as a multiple of the objective for their gap. */
	private static final double EVENT_GAP_FACTOR = 1.5;

	/** Least timeout between events, in milliseconds. */
	private static final long MIN_EVENT_GAP_MS = 500;

	/**
	 * Return the timeouts for an attempt.
	 * @param route the route of the request
	 * @param started whether the caller has received part of the response
	 * @return the timeouts
	 */
	static IdleTimeouts of(Route route, boolean started) {
		long objective = route.objectiveMs();
		if (route.kind() != RequestKind.STREAMING) {
			return new IdleTimeouts(objective * NON_STREAMING_FACTOR, objective * NON_STREAMING_FACTOR);
		}
		long subsequent = Math.max((long) (route.gapObjectiveMs() * EVENT_GAP_FACTOR), MIN_EVENT_GAP_MS);
		long initial = Math.max((long) (objective * FIRST_EVENT_FACTOR), MIN_FIRST_EVENT_MS);
		return new IdleTimeouts(started ? subsequent : initial, subsequent);
	}

}
