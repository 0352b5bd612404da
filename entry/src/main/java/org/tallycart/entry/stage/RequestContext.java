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
 * One request on its way through its pipeline.
 * <p>
 * Immutable but for its ledger and cost, which are thread-safe.
 *
 * @param request the request
 * @param state the state of the fleet it sees throughout
 * @param pipeline its pipeline
 * @param workspace its workspace
 * @param policy the policy that governs it
 * @param priority its priority
 * @param arrivedMs when it arrived, by the monotonic clock
 * @param dueMs when it is due, by the monotonic clock
 * @param ledger its attempts
 * @param cost what they cost
 * @since 0.1
 */
public record RequestContext(CallerRequest request, EntryState state, Pipeline pipeline, Workspace workspace,
		Policy policy, long priority, long arrivedMs, long dueMs, AttemptTracker ledger, CostMeter cost) {

	/**
	 * Return the time left to the deadline.
	 * @return milliseconds, negative when the deadline is past
	 */
	public long remainingMs() {
		return this.dueMs - Clocks.SYSTEM.monotonicMs();
	}

	/**
	 * Return what a policy may know of the request.
	 * @return the facts
	 */
	public RequestFacts facts() {
		return new RequestFacts(this.request.workspace(), this.request.pipeline(), this.request.label(),
				this.request.repeatable(), remainingMs(), this.request.maxTokens());
	}

}
