package org.tallycart.core.declaration;

/**
 * Ways to choose an upstream; the simple ones stay as baselines.
 *
 * @since 0.1
 */
public enum BalancerKind {

	/** The least of all, scored by own calls in flight plus reported load by age. */
	LEAST_LOAD_AGED,
	/** Two random choices, scored by own calls in flight plus reported load by age. */
	TWO_CHOICES_AGED,
	/** Two random choices, reported load taken as if it were fresh. */
	TWO_CHOICES,
	/** Least calls in flight from this VM. */
	LEAST_IN_FLIGHT,
	/** One after the other. */
	ROUND_ROBIN

}
