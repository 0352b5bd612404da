package org.tallycart.node.piece;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.tallycart.core.pool.PieceId;
import org.tallycart.core.pool.PieceJob;
import org.tallycart.core.pool.PieceListener;

/**
 * Pieces that wait until the dispatcher of their pool is known.
 * <p>
 * Guards against overload when all VMs start at once: before a VM knows the others, it
 * would dispatch its own pieces, and the pool would get many small calls instead of a few
 * batches.
 * <p>
 * Invariant: a piece is taken or withdrawn once, and is due after {@link #MAX_WAIT_MS} at
 * the latest. Not thread-safe: confined to the event loop.
 */
final class UnroutedPieces {

	/**
	 * Longest time for which a piece waits, in milliseconds; a VM that starts at the same
	 * time has replied to its second heartbeat request by then.
	 */
	static final long MAX_WAIT_MS = 300;

	private final Map<PieceId, UnroutedPiece> pieces = new LinkedHashMap<>();

	void add(PieceJob job, PieceListener listener, long nowMs) {
		this.pieces.put(job.id(), new UnroutedPiece(job, listener, nowMs + MAX_WAIT_MS));
	}

	boolean withdraw(PieceId id) {
		return this.pieces.remove(id) != null;
	}

	// Removes and returns the pieces whose dispatcher is known or whose wait is over.
	List<UnroutedPiece> takeDue(Predicate<String> isDispatcherKnown, long nowMs) {
		List<UnroutedPiece> due = new ArrayList<>();
		for (UnroutedPiece piece : this.pieces.values()) {
			if (nowMs >= piece.deadlineMs() || isDispatcherKnown.test(piece.job().service())) {
				due.add(piece);
			}
		}
		due.forEach((piece) -> this.pieces.remove(piece.job().id()));
		return due;
	}

	boolean isEmpty() {
		return this.pieces.isEmpty();
	}

	/**
	 * A piece whose dispatcher is not known yet.
	 *
	 * @param job the piece
	 * @param listener the listener for its outcome
	 * @param deadlineMs when it is dispatched anyway, on the monotonic clock
	 */
	record UnroutedPiece(PieceJob job, PieceListener listener, long deadlineMs) {
	}

}
