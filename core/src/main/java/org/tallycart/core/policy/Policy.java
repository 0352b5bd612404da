package org.tallycart.core.policy;

/**
 * Decisions made by the policy of an operator. For a rule that is not defined or that
 * fails at run time, the decision of {@link BuiltInPolicy} applies.
 * <p>
 * Implementations are thread-safe and have no side effects.
 *
 * @since 0.1
 */
public interface Policy {

	/**
	 * Decide whether to admit a request.
	 * @param request the request
	 * @return true to admit it
	 */
	boolean admit(RequestFacts request);

	/**
	 * Determine the priority of a request.
	 * @param request the request
	 * @return the priority; a higher one goes first
	 */
	long priority(RequestFacts request);

	/**
	 * Determine an addition to the score of an upstream.
	 * @param request the request
	 * @param upstream the upstream
	 * @return the addition, in calls; a positive value makes the upstream less preferred
	 */
	double place(RequestFacts request, UpstreamFacts upstream);

	/**
	 * Decide whether to shed a request under load.
	 * @param request the request
	 * @param load the load of this VM at the stage
	 * @return true to refuse it
	 */
	boolean shed(RequestFacts request, LoadFacts load);

}
