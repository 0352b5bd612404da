package org.tallycart.core.pool;

import java.util.HashSet;
import java.util.Set;

/**
 * Submitted piece that has no outcome yet.
 * <p>
 * Not thread-safe: guarded by {@link PoolDispatcher}.
 */
final class PendingPiece {

	private final PieceJob job;

	private final Set<String> failedAt = new HashSet<>();

	private final Set<Long> runningCalls = new HashSet<>();

	private PieceListener listener;

	private int attempts;

	private boolean inputsRead;

	private boolean returned;

	private boolean wasDeferred;

	private boolean wasStarted;

	PendingPiece(PieceJob job, PieceListener listener) {
		this.job = job;
		this.listener = listener;
	}

	PieceJob job() {
		return this.job;
	}

	void replaceListener(PieceListener other) {
		this.listener = other;
	}

	void complete(PieceOutcome outcome) {
		this.listener.onOutcome(this.job.id(), outcome);
	}

	// The inputs may be released from now on, so the piece cannot be retried at another
	// worker.
	void onInputsRead() {
		this.inputsRead = true;
		this.listener.onInputsRead(this.job.id());
	}

	void handBack() {
		this.listener.onHandedBack(this.job.id());
	}

	boolean inputsRead() {
		return this.inputsRead;
	}

	// A piece is not retried at a worker where it failed.
	boolean canRunAt(String worker) {
		return !this.failedAt.contains(worker);
	}

	void recordFailureAt(String worker) {
		this.failedAt.add(worker);
	}

	void clearFailuresIfAll(Set<String> workers) {
		if (this.failedAt.containsAll(workers)) {
			this.failedAt.clear();
		}
	}

	void markReturned() {
		this.returned = true;
	}

	// Whether its request was rejected before and has been submitted again.
	boolean isReturned() {
		return this.returned;
	}

	// Returns whether the piece was deferred for the first time.
	boolean markDeferred() {
		boolean first = !this.wasDeferred;
		this.wasDeferred = true;
		return first;
	}

	// Returns whether the piece was started for the first time. A call that the worker
	// never started counts here, unlike in the attempts.
	boolean markStarted() {
		boolean first = !this.wasStarted;
		this.wasStarted = true;
		return first;
	}

	int attempts() {
		return this.attempts;
	}

	void onCall(long number) {
		this.attempts++;
		this.runningCalls.add(number);
	}

	boolean isPartOf(long number) {
		return this.runningCalls.contains(number);
	}

	// Returns whether the piece was part of the call.
	boolean onCallEnded(long number) {
		return this.runningCalls.remove(number);
	}

	// A call that is in progress may still complete the piece.
	boolean isRunning() {
		return !this.runningCalls.isEmpty();
	}

	// Reverts the count of a call that the worker never started.
	void onCallNotStarted() {
		this.attempts--;
	}

}
