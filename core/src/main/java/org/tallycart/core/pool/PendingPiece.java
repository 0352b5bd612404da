package org.tallycart.core.pool;

import java.util.HashSet;
import java.util.Set;

/**
 * A piece that was asked for and has no outcome yet.
 * <p>
 * Not thread-safe: guarded by {@link PoolDispatcher}.
 */
final class PendingPiece {

	private final PieceJob job;

	private final Set<String> failedAt = new HashSet<>();

	private PieceListener asker;

	private int calls;

	private boolean inputsRead;

	PendingPiece(PieceJob job, PieceListener asker) {
		this.job = job;
		this.asker = asker;
	}

	PieceJob job() {
		return this.job;
	}

	void replaceAsker(PieceListener other) {
		this.asker = other;
	}

	void settle(PieceOutcome outcome) {
		this.asker.onOutcome(this.job.id(), outcome);
	}

	// From now on the inputs may be given back, so no other worker can make the piece.
	void onInputsRead() {
		this.inputsRead = true;
		this.asker.onInputsRead(this.job.id());
	}

	void handBack() {
		this.asker.onHandedBack(this.job.id());
	}

	boolean inputsRead() {
		return this.inputsRead;
	}

	// Whether the piece may go to a worker: not to one at which it failed before.
	boolean mayGoTo(String worker) {
		return !this.failedAt.contains(worker);
	}

	void onFailedAt(String worker) {
		this.failedAt.add(worker);
	}

	void forgetFailuresIfAll(Set<String> workers) {
		if (this.failedAt.containsAll(workers)) {
			this.failedAt.clear();
		}
	}

	int calls() {
		return this.calls;
	}

	void onCall() {
		this.calls++;
	}

	// Takes a call back that never began.
	void onNoCall() {
		this.calls--;
	}

}
