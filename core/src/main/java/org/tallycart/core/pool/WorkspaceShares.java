package org.tallycart.core.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Recent use of a pool by each workspace: the number of its requests that were started,
 * each with a weight that decays with its age.
 * <p>
 * A request counts once for each stage, by the first piece of the stage, whatever its
 * number of pieces. Workspaces that have not used the pool recently are forgotten.
 * <p>
 * Not thread-safe: guarded by {@link PoolDispatcher}.
 */
final class WorkspaceShares {

	/**
	 * Time in which the weight of a request decays to 1/e, in milliseconds. Longer than
	 * an objective, so that a workspace that had less than its share in one burst has it
	 * in the next seconds.
	 */
	static final double DECAY_MS = 4_000;

	/** Use below which a workspace is forgotten, in requests. */
	private static final double MIN_USE = 0.01;

	private final Map<String, Double> useByWorkspace = new HashMap<>();

	private long updatedMs;

	/**
	 * Record the start of pieces.
	 * @param pieces the pieces of one call
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 */
	void onStarted(List<PendingPiece> pieces, long nowMs) {
		decay(nowMs);
		for (PendingPiece piece : pieces) {
			if (piece.job().id().piece() == 0 && piece.markStarted()) {
				this.useByWorkspace.merge(piece.job().workspace(), 1.0, Double::sum);
			}
		}
	}

	/**
	 * Return the recent use of all workspaces that have any.
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 * @return the number of requests by workspace, decayed; a copy
	 */
	Map<String, Double> use(long nowMs) {
		decay(nowMs);
		return new HashMap<>(this.useByWorkspace);
	}

	private void decay(long nowMs) {
		if (nowMs <= this.updatedMs) {
			return;
		}
		double factor = Math.exp((this.updatedMs - nowMs) / DECAY_MS);
		this.useByWorkspace.replaceAll((workspace, use) -> use * factor);
		this.useByWorkspace.values().removeIf((use) -> use < MIN_USE);
		this.updatedMs = nowMs;
	}

}
