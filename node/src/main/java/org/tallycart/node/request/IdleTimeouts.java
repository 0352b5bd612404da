package org.tallycart.node.request;

import org.tallycart.core.serving.RequestKind;
import org.tallycart.core.serving.Route;

/**
 * How long an upstream may be silent before a request that may be repeated is sent
 * elsewhere.
 *
 * @param firstMs until something of the answer comes, in milliseconds
 * @param laterMs between two parts of it, in milliseconds
 */
record IdleTimeouts(long firstMs, long laterMs) {

	/**
	 * An idempotent call is sent again after this many times its objective without an
	 * answer.
	 */
	private static final long PLAIN_FACTOR = 2;

	/** Share of the objective after which a resumable stream is asked for elsewhere. */
	private static final double FIRST_EVENT_SHARE = 0.75;

	/** Least wait for a first event, in milliseconds: an engine may have a queue. */
	private static final long LEAST_FIRST_EVENT_MS = 1_200;

	/** A resumable stream goes on elsewhere after this many times its longest pause. */
	private static final double EVENT_FACTOR = 1.5;

	/** Least wait for the next event, in milliseconds. */
	private static final long LEAST_EVENT_MS = 500;

	/**
	 * Return the limit of a route.
	 * @param route the route
	 * @param begun whether the caller has a part of the answer already
	 * @return the limit
	 */
	static IdleTimeouts of(Route route, boolean begun) {
		long objective = route.objectiveMs();
		if (route.kind() != RequestKind.STREAMING) {
			return new IdleTimeouts(objective * PLAIN_FACTOR, objective * PLAIN_FACTOR);
		}
		long later = Math.max((long) (route.gapObjectiveMs() * EVENT_FACTOR), LEAST_EVENT_MS);
		long first = Math.max((long) (objective * FIRST_EVENT_SHARE), LEAST_FIRST_EVENT_MS);
		return new IdleTimeouts(begun ? later : first, later);
	}

}
