package org.tallycart.runtime.process;

/**
 * Exit codes that all programs share.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class ExitCode {

	/** Ended well. */
	public static final int OK = 0;

	/** Could not start, or failed. */
	public static final int FAILED = 1;

	/** The command line or the settings are wrong. */
	public static final int USAGE = 2;

	/** Refused: the declarations are wrong. */
	public static final int REFUSED = 3;

	/** Another operator's change stands in the way. */
	public static final int CONFLICT = 4;

	/** Whether the change took effect is not known. */
	public static final int OUTCOME_UNKNOWN = 5;

	/** Accepted, but not in force everywhere within the time given. */
	public static final int NOT_IN_FORCE = 6;

	/** An invariant is broken. */
	public static final int INVARIANT_BROKEN = 70;

	private ExitCode() {
	}

}
