package org.tallycart.core.serving;

import java.util.List;

/**
 * Routing rule for the requests of a host and path prefix.
 *
 * @param name name of the route
 * @param host host of the requests
 * @param pathPrefix path prefix of the requests; begins and ends with a slash
 * @param kind retry semantics of the requests
 * @param shares services that share the requests by weight; at least one
 * @param timeoutMs request timeout, in milliseconds
 * @param objectiveMs latency objective, in milliseconds
 * @param gapObjectiveMs objective for the gap between two events of a stream, in
 * milliseconds; 0 if there is none
 * @param priority priority level; 0 is the most urgent
 * @param maxAttempts maximum number of upstreams that one request is sent to
 * @param stages the stages to complete before the request runs, indexed by stage number
 * @param publicAccess whether requests need no API key
 * @param resumable whether an interrupted stream can be resumed at another upstream
 * @since 0.1
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, List<ServiceShare> shares,
		long timeoutMs, long objectiveMs, long gapObjectiveMs, int priority, int maxAttempts, List<StageSpec> stages,
		boolean publicAccess, boolean resumable) {

	/**
	 * Minimum timeout for the first event of a stream, in milliseconds.
	 */
	private static final long MIN_FIRST_EVENT_TIMEOUT_MS = 2_000;

	/** Timeout for the first event, as a multiple of the latency objective. */
	private static final long OBJECTIVE_MULTIPLE = 4;

	/** Timeout for an event, as a multiple of the gap objective. */
	private static final long GAP_OBJECTIVE_MULTIPLE = 8;

	/**
	 * Return the time after which callers give up on a stream without a first event,
	 * regardless of their timeout for the whole response. The caller protocol defines it
	 * as the longest of a minimum, a multiple of the latency objective and a multiple of
	 * the gap objective.
	 * @return the timeout, in milliseconds; {@link Long#MAX_VALUE} if the response is not
	 * a stream
	 */
	public long firstEventTimeoutMs() {
		if (this.kind != RequestKind.STREAMING) {
			return Long.MAX_VALUE;
		}
		return Math.max(MIN_FIRST_EVENT_TIMEOUT_MS,
				Math.max(this.objectiveMs * OBJECTIVE_MULTIPLE, this.gapObjectiveMs * GAP_OBJECTIVE_MULTIPLE));
	}

	/**
	 * Return whether a request can be retried although it may have been executed.
	 * @return true for idempotent requests and for streams that can be resumed
	 */
	public boolean repeatable() {
		return this.kind == RequestKind.IDEMPOTENT || (this.kind == RequestKind.STREAMING && this.resumable);
	}

	/**
	 * Return whether requests may go to a service.
	 * @param service the service
	 * @return true if it has a share of the requests
	 */
	public boolean leadsTo(String service) {
		return this.shares.stream()
			.anyMatch((share) -> share.service().equals(service) && (share.weight() > 0 || this.shares.size() == 1));
	}

	/**
	 * Select a service by weight.
	 * @param random a random number, uniform over all long values
	 * @return the service
	 */
	public String selectService(long random) {
		int total = this.shares.stream().mapToInt(ServiceShare::weight).sum();
		if (total <= 0) {
			return this.shares.get(0).service();
		}
		long remaining = Math.floorMod(random, (long) total);
		for (ServiceShare share : this.shares) {
			remaining -= share.weight();
			if (remaining < 0) {
				return share.service();
			}
		}
		return this.shares.get(0).service();
	}

}
