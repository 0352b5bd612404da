package org.tallycart.core.limit;

/**
 * Whether a request may be sent to an upstream that has named a limit.
 *
 * @param granted whether it may
 * @param waitMs when it may be sent, or when to ask again, in milliseconds from now
 * @since 0.1
 */
public record Permit(boolean granted, long waitMs) {

	/** The answer where the upstream has no limit. */
	public static final Permit UNLIMITED = new Permit(true, 0);

	/**
	 * Return a permit.
	 * @param waitMs when the request may be sent, in milliseconds from now
	 * @return the answer
	 */
	public static Permit granted(long waitMs) {
		return new Permit(true, waitMs);
	}

	/**
	 * Return a refusal.
	 * @param waitMs when to ask again, in milliseconds from now
	 * @return the answer
	 */
	public static Permit denied(long waitMs) {
		return new Permit(false, waitMs);
	}

}
