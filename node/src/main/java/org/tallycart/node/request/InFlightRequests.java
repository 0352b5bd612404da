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

	private final Set<RequestFlow> flows = new LinkedHashSet<>();

	void add(RequestFlow flow) {
		this.flows.add(flow);
	}

	void remove(RequestFlow flow) {
		this.flows.remove(flow);
	}

	/** Log how far each request has come, when this VM stops before it has ended. */
	public void logStopped() {
		List<RequestFlow> all = new ArrayList<>(this.flows);
		all.forEach(RequestFlow::logStopped);
	}

}
