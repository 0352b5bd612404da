package org.tallycart.core.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The queued pieces of one request, which are kept, deferred and shed together.
 * <p>
 * Not thread-safe: an instance covers one scheduling decision.
 */
final class QueuedRequest {

	/**
	 * Order within a workspace and class: requests that return after a rejection precede
	 * all others, and those with time to spare precede those that are hardly on time.
	 */
	static final Comparator<QueuedRequest> BY_RETURN_AND_OBJECTIVE = Comparator
		.<QueuedRequest>comparingInt((request) -> request.returned ? 0 : 1)
		.thenComparingInt((request) -> request.tight ? 1 : 0)
		.thenComparingLong(QueuedRequest::objectiveMs);

	private final List<PendingPiece> pieces = new ArrayList<>();

	private final String workspace;

	private final int priority;

	private final boolean returned;

	private long objectiveMs = Long.MAX_VALUE;

	private boolean begun;

	private boolean tight;

	private QueuedRequest(PendingPiece first) {
		this.workspace = first.job().workspace();
		this.priority = first.job().priority();
		this.returned = first.isReturned();
	}

	/**
	 * Group pieces by request.
	 * @param queue the pieces
	 * @return the requests, in the order of their first pieces
	 */
	static List<QueuedRequest> group(Collection<PendingPiece> queue) {
		Map<String, QueuedRequest> requests = new LinkedHashMap<>();
		for (PendingPiece piece : queue) {
			requests.computeIfAbsent(piece.job().id().requestId(), (id) -> new QueuedRequest(piece)).add(piece);
		}
		return new ArrayList<>(requests.values());
	}

	private void add(PendingPiece piece) {
		this.pieces.add(piece);
		this.objectiveMs = Math.min(this.objectiveMs, piece.job().objectiveMs());
		this.begun |= !piece.job().inputs().isEmpty();
	}

	// Marks a request that will hardly be on time even if it is started at once.
	void markTight() {
		this.tight = true;
	}

	List<PendingPiece> pieces() {
		return this.pieces;
	}

	int size() {
		return this.pieces.size();
	}

	String workspace() {
		return this.workspace;
	}

	// The earliest objective of its pieces, on the monotonic clock, in milliseconds.
	long objectiveMs() {
		return this.objectiveMs;
	}

	// Whether a piece has inputs, which are lost if the request is shed.
	boolean isBegun() {
		return this.begun;
	}

	// Requests of a lower class precede those of a higher one, whatever their workspace:
	// the more urgent, and among equally urgent ones those that have begun, so that
	// started requests finish.
	int orderClass() {
		return 2 * this.priority + (this.begun ? 0 : 1);
	}

}
