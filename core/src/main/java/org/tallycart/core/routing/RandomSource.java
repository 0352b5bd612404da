package org.tallycart.core.routing;

/**
 * Source of random numbers. It is passed in so that tests and simulations are
 * reproducible.
 * <p>
 * Implementations are thread-safe.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface RandomSource {

	/**
	 * Return a uniformly distributed random number.
	 * @param bound the exclusive upper bound, at least 1
	 * @return a number from 0 to {@code bound - 1}
	 */
	int nextInt(int bound);

}
