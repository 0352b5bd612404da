package org.tallycart.entry.stage;

import org.tallycart.core.declaration.Pipeline;
import org.tallycart.core.declaration.Workspace;
import org.tallycart.core.outcome.AttemptTracker;
import org.tallycart.core.policy.Policy;
import org.tallycart.core.policy.RequestFacts;
import org.tallycart.entry.caller.CallerRequest;
import org.tallycart.entry.state.EntryState;
import org.tallycart.runtime.process.Clocks;

/**
 * Context of one request while its pipeline runs.
 * <p>
 * Immutable except for the attempt tracker and the cost, which are thread-safe.
 *
 * @param request the request
 * @param state the state of the fleet, the same for the whole request
 * @param pipeline the pipeline
 * @param workspace the workspace
 * @param policy the policy of the pipeline
 * @param priority the priority set by the policy
 * @param arrivedMs arrival time, in milliseconds of the monotonic clock
 * @param dueMs deadline, in milliseconds of the monotonic clock
 * @param attempts tracks the attempts of the request
 * @param cost sums up the cost of the attempts
 * @since 0.1
 */
public record RequestContext(CallerRequest request, EntryState state, Pipeline pipeline, Workspace workspace,
		Policy policy, long priority, long arrivedMs, long dueMs, AttemptTracker attempts, CostMeter cost) {

	/**
	 * Return the time left to the deadline of the request.
	 * @return milliseconds; negative after the deadline
	 */
	public long remainingMs() {
		return this.dueMs - Clocks.SYSTEM.monotonicMs();
	}

	/**
	 * Return the facts of the request that policies can read.
	 * @return the facts
	 */
	public RequestFacts facts() {
		return new RequestFacts(this.request.workspace(), this.request.pipeline(), this.request.label(),
				this.request.repeatable(), remainingMs(), this.request.maxTokens());
	}

}
