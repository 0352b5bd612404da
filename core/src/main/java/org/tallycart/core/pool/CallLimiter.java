package org.tallycart.core.pool;

import org.tallycart.core.serving.UpstreamEntry;

/**
 * Tells when a worker takes another call, where it takes fewer than it has slots for, or
 * none for a time.
 * <p>
 * Not thread-safe: belongs to the dispatcher's event loop.
 *
 * @since 0.1
 */
public interface CallLimiter {

	/** No worker has a limit. */
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
			// Nothing is counted.
		}

	};

	/**
	 * Return whether a worker takes a call now.
	 * @param worker the worker
	 * @return true if it does
	 */
	boolean mayCall(UpstreamEntry worker);

	/**
	 * Return when a worker takes calls from this VM, by its own word.
	 * @param worker the worker
	 * @return milliseconds; 0 if it takes them now,
	 * {@link org.tallycart.core.upstream.UnavailabilityRegistry#NEVER} if it leaves
	 */
	long acceptsInMs(UpstreamEntry worker);

	/**
	 * Take note that a worker gets a call. To be called for each.
	 * @param worker the worker
	 */
	void onCall(UpstreamEntry worker);

}
