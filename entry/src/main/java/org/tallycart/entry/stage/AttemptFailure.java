package org.tallycart.entry.stage;

import org.tallycart.core.outcome.AttemptState;
import org.tallycart.core.outcome.Reason;

/**
 * Why an attempt has no result.
 *
 * @param state what the ledger is to note
 * @param reason why
 * @param message a short text for people
 * @param blame whether the upstream is to blame
 * @since 0.1
 */
record AttemptFailure(AttemptState state, Reason reason, String message, boolean blame) {

	private static final String TOO_SLOW = "too slow to end in time";

	boolean slow() {
		return this.reason == Reason.DEADLINE || this.message.equals(TOO_SLOW);
	}

	static AttemptFailure notBegun(String message) {
		return new AttemptFailure(AttemptState.ABANDONED, Reason.CONNECTION_LOST, message, true);
	}

	static AttemptFailure lost(String message) {
		return new AttemptFailure(AttemptState.ABANDONED, Reason.CONNECTION_LOST, message, true);
	}

	static AttemptFailure refused(String message) {
		return new AttemptFailure(AttemptState.REFUSED, Reason.UPSTREAM_ERROR, message, false);
	}

	static AttemptFailure error(String message) {
		return new AttemptFailure(AttemptState.FAILED, Reason.UPSTREAM_ERROR, message, true);
	}

	static AttemptFailure cancelled() {
		return new AttemptFailure(AttemptState.ABANDONED, Reason.CONNECTION_LOST, "the attempt was given up", false);
	}

	static AttemptFailure tooSlow() {
		return new AttemptFailure(AttemptState.ABANDONED, Reason.UPSTREAM_ERROR, TOO_SLOW, false);
	}

	static AttemptFailure ofDeadline() {
		return new AttemptFailure(AttemptState.ABANDONED, Reason.DEADLINE, "the deadline is past", false);
	}

}
