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
 * Pieces that wait for it to be known which VM dispatches their pool.
 * <p>
 * When all VMs start at once, each knows the others some hundred milliseconds later than
 * its first callers come. Were each to dispatch its own pieces until then, a pool would
 * get as many calls of one piece as there are VMs: at 95 VMs, seconds of its time.
 * <p>
 * Invariant: a piece that is held is taken or withdrawn once, after {@link #LONGEST_MS}
 * at most. Not thread-safe: belongs to the event loop.
 */
final class UnroutedPieces {

	/**
	 * How long a piece is held at most, in milliseconds: a VM that starts at the same
	 * time has answered its second question by then, and one that does not is down.
	 */
	static final long LONGEST_MS = 300;

	private final Map<PieceId, UnroutedPiece> held = new LinkedHashMap<>();

	void hold(PieceJob job, PieceListener asker, long nowMs) {
		this.held.put(job.id(), new UnroutedPiece(job, asker, nowMs + LONGEST_MS));
	}

	boolean withdraw(PieceId id) {
		return this.held.remove(id) != null;
	}

	// Takes the pieces whose pool has a known dispatcher, and those that waited enough.
	List<UnroutedPiece> takeDue(Predicate<String> settled, long nowMs) {
		List<UnroutedPiece> due = new ArrayList<>();
		for (UnroutedPiece each : this.held.values()) {
			if (nowMs >= each.untilMs() || settled.test(each.job().service())) {
				due.add(each);
			}
		}
		due.forEach((each) -> this.held.remove(each.job().id()));
		return due;
	}

	boolean isEmpty() {
		return this.held.isEmpty();
	}

	/**
	 * A piece that is held.
	 *
	 * @param job the piece
	 * @param asker who waits for it
	 * @param untilMs when it is asked for all the same, on the steady clock
	 */
	record UnroutedPiece(PieceJob job, PieceListener asker, long untilMs) {
	}

}
