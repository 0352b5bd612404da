package org.tallycart.core.outcome;

import org.jspecify.annotations.Nullable;

/**
 * A broken invariant: a fault of the program, after which the process must stop.
 *
 * @since 0.1
 */
public final class InvariantViolation extends Error {

	private InvariantViolation(String message) {
		super(message);
	}

	/**
	 * Throw unless a condition holds.
	 * @param condition the condition
	 * @param message what was broken
	 */
	public static void check(boolean condition, String message) {
		if (!condition) {
			throw new InvariantViolation(message);
		}
	}

	/**
	 * Return a value that must be there.
	 * @param <T> the type
	 * @param value the value
	 * @param message what is broken if it is not there
	 * @return the value
	 */
	public static <T> T requirePresent(@Nullable T value, String message) {
		if (value == null) {
			throw new InvariantViolation(message);
		}
		return value;
	}

}
