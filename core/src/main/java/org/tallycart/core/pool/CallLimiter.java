package org.tallycart.core.pool;

import org.tallycart.core.serving.UpstreamEntry;

/**
 * Limits the calls of workers that accept fewer calls than they have slots, or none for a
 * time.
 * <p>
 * Not thread-safe: belongs to the dispatcher's event loop.
 *
 * @since 0.1
 */
public interface CallLimiter {

	/** Limiter that accepts every call. */
	CallLimiter NONE = new CallLimiter() {

		@Override
		public boolean mayCall(UpstreamEntry worker) {
			return true;
		}

		@Override
		public long acceptsInMs(UpstreamEntry worker) {
			return 0;
		}

		@Override
		public void onCall(UpstreamEntry worker) {
			// An unlimited worker needs no count.
		}

	};

	/**
	 * Return whether a worker accepts a call now.
	 * @param worker the worker
	 * @return true if it does
	 */
	boolean mayCall(UpstreamEntry worker);

	/**
	 * Return the time until a worker accepts calls from this VM, as the worker has
	 * stated.
	 * @param worker the worker
	 * @return milliseconds; 0 if it accepts calls now,
	 * {@link org.tallycart.core.upstream.UnavailabilityRegistry#NEVER} if it is draining
	 */
	long acceptsInMs(UpstreamEntry worker);

	/**
	 * Record a call to a worker. Must be invoked once for each call.
	 * @param worker the worker
	 */
	void onCall(UpstreamEntry worker);

}
