package org.tallycart.core.declaration;

/**
 * Algorithm for selecting an upstream.
 *
 * @since 0.1
 */
public enum BalancerKind {

	/**
	 * The lowest score of all upstreams, where the score is the calls in flight from this
	 * VM plus the reported load, discounted by age.
	 */
	LEAST_LOAD_AGED,
	/**
	 * The lower score of two random upstreams, with the score of
	 * {@link #LEAST_LOAD_AGED}.
	 */
	TWO_CHOICES_AGED,
	/**
	 * The lower score of two random upstreams, without discounting the reported load by
	 * age.
	 */
	TWO_CHOICES,
	/** The fewest calls in flight from this VM. */
	LEAST_IN_FLIGHT,
	/** All upstreams in turn. */
	ROUND_ROBIN

}
