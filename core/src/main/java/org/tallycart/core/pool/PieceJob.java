package org.tallycart.core.pool;

import java.util.List;

/**
 * A piece that someone asks a pool for.
 *
 * @param id names the piece
 * @param service the pool
 * @param key what it is made from, where it has no inputs
 * @param inputs handles of what it is made from; empty where it has a key
 * @param deadlineMs when its result is useless, on the steady clock
 * @param objectiveMs when its result has to be there for the request to be on time, what
 * comes after it included
 * @param priority the request's rank; 0 is the most urgent
 * @param failureDomain where its result is wanted
 * @param resultBytes the approximate size of its result
 * @param together whether its stage's results are read together, so that they are better
 * made at one worker
 * @param movedBytes what crosses failure domains if it is made in another one: its
 * inputs, or its result
 * @since 0.1
 */
public record PieceJob(PieceId id, String service, String key, List<String> inputs, long deadlineMs, long objectiveMs,
		int priority, String failureDomain, long resultBytes, boolean together, long movedBytes) {

	/** Moving this much is worth a wait, in bytes; less costs next to nothing. */
	static final long MUCH_MOVED_BYTES = 200_000;

	// Whether its inputs fill their makers' room, so that other work waits until they are
	// read.
	boolean inputsHoldRoom() {
		return !this.inputs.isEmpty() && this.movedBytes >= MUCH_MOVED_BYTES;
	}

}
