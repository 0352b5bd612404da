package org.tallycart.node.request;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The requests that this VM has read and not ended.
 * <p>
 * Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class InFlightRequests {

	private final Set<InFlightRequest> requests = new LinkedHashSet<>();

	private boolean stopping;

	private long latestDeadlineMs = Long.MAX_VALUE;

	void add(InFlightRequest request) {
		this.requests.add(request);
	}

	void remove(InFlightRequest request) {
		this.requests.remove(request);
	}

	/**
	 * Refuse requests that come from now on and may not end before this VM does.
	 * @param stopMs when this VM ends its requests, in monotonic time
	 */
	public void refuseIfLaterThan(long stopMs) {
		this.latestDeadlineMs = stopMs;
	}

	/**
	 * Refuse the requests that have not been sent to any upstream, and those that come
	 * later, since this VM stops before they would be answered.
	 */
	public void refuseNotSent() {
		this.stopping = true;
		all().forEach(InFlightRequest::refuseIfNotSent);
	}

	/** End all requests, whatever their progress, since this VM stops. */
	public void stop() {
		this.stopping = true;
		all().forEach(InFlightRequest::stop);
	}

	private List<InFlightRequest> all() {
		return new ArrayList<>(this.requests);
	}

	boolean refuses(RequestPlan plan) {
		return this.stopping || plan.deadlineMs() > this.latestDeadlineMs;
	}

}
