package org.tallycart.entry.stage;

import org.tallycart.core.outcome.AttemptState;
import org.tallycart.core.outcome.Reason;

/**
 * Failure of an attempt at a stage call.
 *
 * @param state the state to record for the attempt
 * @param reason the reason
 * @param message short description for events and for the detail of the response
 * @param blame whether the failure counts against the upstream
 * @since 0.1
 */
record AttemptFailure(AttemptState state, Reason reason, String message, boolean blame) {

	private static final String TOO_SLOW = "too slow to end in time";

	boolean isSlow() {
		return this.reason == Reason.DEADLINE || this.message.equals(TOO_SLOW);
	}

	static AttemptFailure notStarted(String message) {
		return new AttemptFailure(AttemptState.ABANDONED, Reason.CONNECTION_LOST, message, true);
	}

	static AttemptFailure connectionLost(String message) {
		return new AttemptFailure(AttemptState.ABANDONED, Reason.CONNECTION_LOST, message, true);
	}

	static AttemptFailure refused(String message) {
		return new AttemptFailure(AttemptState.REFUSED, Reason.UPSTREAM_ERROR, message, false);
	}

	static AttemptFailure upstreamError(String message) {
		return new AttemptFailure(AttemptState.FAILED, Reason.UPSTREAM_ERROR, message, true);
	}

	// A reply of success that cannot be read, or was broken off: the call may have run.
	static AttemptFailure unreadable(String message) {
		return new AttemptFailure(AttemptState.ABANDONED, Reason.UPSTREAM_ERROR, message, true);
	}

	static AttemptFailure cancelled() {
		return new AttemptFailure(AttemptState.ABANDONED, Reason.CONNECTION_LOST, "the attempt was given up", false);
	}

	static AttemptFailure tooSlow() {
		return new AttemptFailure(AttemptState.ABANDONED, Reason.UPSTREAM_ERROR, TOO_SLOW, false);
	}

	static AttemptFailure deadlineExceeded() {
		return new AttemptFailure(AttemptState.ABANDONED, Reason.DEADLINE, "the deadline is past", false);
	}

}
