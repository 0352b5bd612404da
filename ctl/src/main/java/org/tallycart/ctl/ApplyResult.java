package org.tallycart.ctl;

import java.util.List;

/**
 * What became of an apply.
 *
 * @param status what became of it
 * @param version the version in force after it, where known
 * @param lines what to tell the operator
 * @since 0.1
 */
record ApplyResult(Status status, long version, List<String> lines) {

	/** Kinds of result. */
	enum Status {

		/** The change is accepted. */
		ACCEPTED,
		/** There was nothing to change. */
		UNCHANGED,
		/** The declarations are wrong. */
		REFUSED,
		/** Another operator's change stands in the way. */
		CONFLICT,
		/** The platform's service could not be reached; nothing was changed. */
		NOT_APPLIED,
		/** Whether the change took effect could not be found out in time. */
		OUTCOME_UNKNOWN

	}

}
