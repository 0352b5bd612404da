package org.tallycart.core.limit;

/**
 * The decision on a request to an upstream that has stated a limit.
 *
 * @param granted whether the request may be sent
 * @param waitMs the delay until it may be sent, or until a new attempt after a denial, in
 * milliseconds
 * @since 0.1
 */
public record Permit(boolean granted, long waitMs) {

	/** The decision for an upstream without a limit. */
	public static final Permit UNLIMITED = new Permit(true, 0);

	/**
	 * Return a grant.
	 * @param waitMs the delay until the request may be sent, in milliseconds
	 * @return the decision
	 */
	public static Permit granted(long waitMs) {
		return new Permit(true, waitMs);
	}

	/**
	 * Return a denial.
	 * @param waitMs the delay until a new attempt, in milliseconds
	 * @return the decision
	 */
	public static Permit denied(long waitMs) {
		return new Permit(false, waitMs);
	}

}
