package org.tallycart.core.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Counts of requests by workspace and by what overload did to them.
 * <p>
 * Not thread-safe: guarded by {@link PoolDispatcher}.
 */
final class OverloadCounts {

	private final Map<String, Integer> deferred = new HashMap<>();

	private final Map<String, Integer> shed = new HashMap<>();

	private final Map<String, Integer> expired = new HashMap<>();

	private final Map<String, Integer> returned = new HashMap<>();

	void onDeferred(PendingPiece piece) {
		if (piece.markDeferred()) {
			count(this.deferred, piece);
		}
	}

	void onShed(PendingPiece piece) {
		count(this.shed, piece);
	}

	void onExpired(PendingPiece piece) {
		count(this.expired, piece);
	}

	// The piece by which the return was recognised, of whatever number.
	void onReturned(PendingPiece piece) {
		this.returned.merge(piece.job().workspace(), 1, Integer::sum);
	}

	private static void count(Map<String, Integer> counts, PendingPiece piece) {
		if (piece.job().id().piece() == 0) {
			counts.merge(piece.job().workspace(), 1, Integer::sum);
		}
	}

	// Returns the counts with the shares of the given use, and resets the counts.
	Map<String, WorkspaceOverload> take(Map<String, Double> use) {
		double total = use.values().stream().mapToDouble(Double::doubleValue).sum();
		Set<String> workspaces = new HashSet<>(use.keySet());
		workspaces.addAll(this.deferred.keySet());
		workspaces.addAll(this.shed.keySet());
		workspaces.addAll(this.expired.keySet());
		workspaces.addAll(this.returned.keySet());
		Map<String, WorkspaceOverload> overload = new HashMap<>();
		for (String each : workspaces) {
			double share = (total > 0) ? use.getOrDefault(each, 0.0) / total : 0;
			overload.put(each,
					new WorkspaceOverload(share, this.deferred.getOrDefault(each, 0), this.shed.getOrDefault(each, 0),
							this.expired.getOrDefault(each, 0), this.returned.getOrDefault(each, 0)));
		}
		this.deferred.clear();
		this.shed.clear();
		this.expired.clear();
		this.returned.clear();
		return overload;
	}

}
