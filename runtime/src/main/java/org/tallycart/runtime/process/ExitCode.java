package org.tallycart.runtime.process;

/**
 * Exit codes shared by all programs.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class ExitCode {

	/** The program succeeded. */
	public static final int OK = 0;

	/** The program could not start, or failed. */
	public static final int FAILED = 1;

	/** The command line or the settings are invalid. */
	public static final int USAGE = 2;

	/** The declarations are invalid and were rejected. */
	public static final int REFUSED = 3;

	/** The change conflicts with a concurrent change by another operator. */
	public static final int CONFLICT = 4;

	/** It is unknown whether the change was applied. */
	public static final int OUTCOME_UNKNOWN = 5;

	/** The change was accepted, but is not active on every VM within the timeout. */
	public static final int NOT_IN_FORCE = 6;

	/** An internal invariant was violated. */
	public static final int INVARIANT_BROKEN = 70;

	private ExitCode() {
	}

}
