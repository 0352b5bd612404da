package org.tallycart.core.serving;

import java.util.List;

/**
 * Where requests of a host and path prefix go, and how.
 *
 * @param name the route's name
 * @param host the host it applies to
 * @param pathPrefix the prefix of paths it applies to; begins and ends with a slash
 * @param kind what may be repeated
 * @param shares the services its requests are split over, at least one
 * @param timeoutMs the longest a caller is kept waiting, in milliseconds
 * @param objectiveMs the time within which an answer earns its full worth
 * @param gapObjectiveMs the longest pause between events that is still on time; 0 for
 * none
 * @param priority its rank; 0 is the most urgent
 * @param maxAttempts how many upstreams one request may be sent to
 * @param stages the work that comes first, by number
 * @param publicAccess whether it needs no key
 * @param resumable whether a broken stream may go on at another upstream
 * @since 0.1
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, List<ServiceShare> shares,
		long timeoutMs, long objectiveMs, long gapObjectiveMs, int priority, int maxAttempts, List<StageSpec> stages,
		boolean publicAccess, boolean resumable) {

	/**
	 * Callers wait at least this long for the first event of a stream, in milliseconds.
	 */
	private static final long LEAST_PATIENCE_MS = 2_000;

	/** Callers wait for the first event for this many times the objective. */
	private static final long PATIENCE_OBJECTIVES = 4;

	/** Callers wait for an event for this many times the longest pause on time. */
	private static final long PATIENCE_GAPS = 8;

	/**
	 * Return how long callers wait for an answer to begin, whatever time they allow for
	 * the whole: they leave a stream that stands still for the longest of three times,
	 * which the callers' protocol names.
	 * @return milliseconds; the longest time there is where the answer is no stream
	 */
	public long firstEventTimeoutMs() {
		if (this.kind != RequestKind.STREAMING) {
			return Long.MAX_VALUE;
		}
		return Math.max(LEAST_PATIENCE_MS,
				Math.max(this.objectiveMs * PATIENCE_OBJECTIVES, this.gapObjectiveMs * PATIENCE_GAPS));
	}

	/**
	 * Return whether a request may run again after it may have run.
	 * @return true for idempotent requests and for streams that can be resumed
	 */
	public boolean repeatable() {
		return this.kind == RequestKind.IDEMPOTENT || (this.kind == RequestKind.STREAMING && this.resumable);
	}

	/**
	 * Choose a service by weight.
	 * @param draw a number that is spread evenly over all longs
	 * @return the service
	 */
	public String selectService(long draw) {
		int total = this.shares.stream().mapToInt(ServiceShare::weight).sum();
		if (total <= 0) {
			return this.shares.get(0).service();
		}
		long rest = Math.floorMod(draw, (long) total);
		for (ServiceShare share : this.shares) {
			rest -= share.weight();
			if (rest < 0) {
				return share.service();
			}
		}
		return this.shares.get(0).service();
	}

}
