package org.tallycart.entry.caller;

/**
 * Header fields of the callers' interface.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class CallerFields {

	/** The workspace. */
	public static final String WORKSPACE = "Tallycart-Workspace";

	/** The time the request may take, in milliseconds. */
	public static final String DEADLINE_MS = "Tallycart-Deadline-Ms";

	/** Whether the request may be repeated: true or false. */
	public static final String REPEATABLE = "Tallycart-Repeatable";

	/** Whether the key was never submitted before: true or false. */
	public static final String FIRST_SUBMISSION = "Tallycart-First-Submission";

	/** The kind of work, for policies. */
	public static final String LABEL = "Tallycart-Label";

	/** The request's id, chosen by the caller or by the entry. */
	public static final String REQUEST_ID = "Tallycart-Request-Id";

	/** The outcome. */
	public static final String OUTCOME = "Tallycart-Outcome";

	/** The reason of the outcome. */
	public static final String REASON = "Tallycart-Reason";

	/** When to come back, in milliseconds. */
	public static final String RETRY_AFTER_MS = "Tallycart-Retry-After-Ms";

	/** The idempotency key. */
	public static final String KEY = "Idempotency-Key";

	private CallerFields() {
	}

}
