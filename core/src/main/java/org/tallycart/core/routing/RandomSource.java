package org.tallycart.core.routing;

/**
 * Source of random numbers, handed in so that runs can be repeated.
 * <p>
 * Implementations are thread-safe.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface RandomSource {

	/**
	 * Return a random number.
	 * @param bound the bound, at least 1
	 * @return a number from 0 to {@code bound - 1}
	 */
	int below(int bound);

}
