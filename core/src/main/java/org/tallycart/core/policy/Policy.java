package org.tallycart.core.policy;

/**
 * The four decisions an operator's policy makes. A rule that the policy leaves out, or
 * that fails at run time, decides as {@link BuiltInPolicy} does.
 * <p>
 * Implementations are thread-safe and have no side effects.
 *
 * @since 0.1
 */
public interface Policy {

	/**
	 * Decide whether a request may enter.
	 * @param request the request
	 * @return true to let it in
	 */
	boolean admit(RequestFacts request);

	/**
	 * Decide a request's priority.
	 * @param request the request
	 * @return the priority; a higher one goes first
	 */
	long priority(RequestFacts request);

	/**
	 * Add to an upstream's score.
	 * @param request the request
	 * @param upstream the upstream
	 * @return what to add, in calls; 0 changes nothing, more makes it less preferred
	 */
	double place(RequestFacts request, UpstreamFacts upstream);

	/**
	 * Decide whether to shed a request under load.
	 * @param request the request
	 * @param load the load it meets
	 * @return true to refuse it
	 */
	boolean shed(RequestFacts request, LoadFacts load);

}
