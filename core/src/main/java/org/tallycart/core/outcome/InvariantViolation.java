package org.tallycart.core.outcome;

import org.jspecify.annotations.Nullable;

/**
 * Thrown when an invariant is violated, which indicates a bug after which the process
 * must stop.
 *
 * @since 0.1
 */
public final class InvariantViolation extends Error {

	private InvariantViolation(String message) {
		super(message);
	}

	/**
	 * Check that a condition holds.
	 * @param condition the condition
	 * @param message a description of the violated invariant
	 */
	public static void check(boolean condition, String message) {
		if (!condition) {
			throw new InvariantViolation(message);
		}
	}

	/**
	 * Return a value that must not be null.
	 * @param <T> the type of the value
	 * @param value the value
	 * @param message a description of the violated invariant if it is null
	 * @return the value
	 */
	public static <T> T requirePresent(@Nullable T value, String message) {
		if (value == null) {
			throw new InvariantViolation(message);
		}
		return value;
	}

}
