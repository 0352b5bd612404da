package org.tallycart.ctl;

import java.util.List;

/**
 * Result of an apply.
 *
 * @param status the kind of result
 * @param version the active version after the apply; 0 if it is not known
 * @param lines the lines to print for the operator
 * @since 0.1
 */
record ApplyResult(Status status, long version, List<String> lines) {

	/** Kinds of result. */
	enum Status {

		/** The change is accepted. */
		ACCEPTED,
		/** The declarations equal the active configuration. */
		UNCHANGED,
		/** The declarations are invalid. */
		REFUSED,
		/** The change conflicts with another operator's change. */
		CONFLICT,
		/** The platform's service could not be reached; nothing was changed. */
		NOT_APPLIED,
		/**
		 * The platform's service did not reply in time; the change may have taken effect.
		 */
		OUTCOME_UNKNOWN

	}

}
