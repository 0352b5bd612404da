package org.tallycart.core.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.IntToDoubleFunction;

/**
 * Selects the requests to defer when not all queued ones can be on time, with max-min
 * fair shares among workspaces of equal weight.
 * <p>
 * As in {@link QueueOrder}, requests are added by objective, and one of the least urgent
 * class is deferred when one would be late. Within the class it is the last one of the
 * workspace with the highest level: its recent use of the pool plus its requests that are
 * kept in this queue. Deferred requests are sorted by class, and within a class the
 * workspace with the lowest level comes next.
 * <p>
 * The cost is O(n log n + d * w) for n requests, of which d are deferred, of w
 * workspaces. Not thread-safe: an instance covers one scheduling decision.
 */
final class FairDeferral {

	private static final Comparator<QueuedRequest> BY_OBJECTIVE = Comparator.comparingLong(QueuedRequest::objectiveMs);

	private final IntToDoubleFunction completionMs;

	private final double marginMs;

	// Use plus kept requests, by workspace.
	private final Map<String, Double> levels;

	private final TreeMap<Integer, Map<String, WorkspaceRequests>> kept = new TreeMap<>();

	private int keptPieces;

	/**
	 * Create an instance.
	 * @param completionMs estimates when the last of a number of pieces completes, on the
	 * monotonic clock, in milliseconds
	 * @param marginMs time by which requests should be early, in milliseconds; one that
	 * cannot be is kept if it can be on time in the next call, but gives way first within
	 * its workspace
	 * @param use the recent use by workspace, in requests; the map is modified
	 */
	FairDeferral(IntToDoubleFunction completionMs, double marginMs, Map<String, Double> use) {
		this.completionMs = completionMs;
		this.marginMs = marginMs;
		this.levels = use;
	}

	/**
	 * Return the requests to defer.
	 * @param queue the queued pieces
	 * @return the requests in processing order; all others can be on time
	 */
	List<QueuedRequest> deferred(Collection<PendingPiece> queue) {
		List<QueuedRequest> byObjective = QueuedRequest.group(queue);
		byObjective.sort(BY_OBJECTIVE);
		List<QueuedRequest> deferred = new ArrayList<>();
		for (QueuedRequest request : byObjective) {
			double spareMs = request.objectiveMs() - this.completionMs.applyAsDouble(request.size());
			if (spareMs < this.marginMs) {
				request.markTight();
			}
			if (spareMs < 0) {
				deferred.add(request);
			}
			else {
				keep(request);
				deferred.addAll(deferUntilOnTime(request, Math.min(spareMs, this.marginMs)));
			}
		}
		return inOrder(deferred);
	}

	// Returns the requests that give way to the added one. If that is deferred itself,
	// the others stay, since they can be on time without it.
	private List<QueuedRequest> deferUntilOnTime(QueuedRequest added, double earlyMs) {
		List<QueuedRequest> displaced = new ArrayList<>();
		while (this.completionMs.applyAsDouble(this.keptPieces) + earlyMs > added.objectiveMs()) {
			QueuedRequest last = removeLast();
			if (last == added) {
				displaced.forEach(this::keep);
				return List.of(added);
			}
			displaced.add(last);
		}
		return displaced;
	}

	private void keep(QueuedRequest request) {
		add(this.kept, request, QueuedRequest.BY_RETURN_AND_OBJECTIVE.reversed());
		this.keptPieces += request.size();
		changeLevel(request.workspace(), 1);
	}

	private static void add(TreeMap<Integer, Map<String, WorkspaceRequests>> classes, QueuedRequest request,
			Comparator<QueuedRequest> order) {
		classes.computeIfAbsent(request.orderClass(), (key) -> new HashMap<>())
			.computeIfAbsent(request.workspace(), (key) -> new WorkspaceRequests(key, new PriorityQueue<>(order)))
			.requests()
			.add(request);
	}

	private QueuedRequest removeLast() {
		Map<String, WorkspaceRequests> leastUrgent = this.kept.lastEntry().getValue();
		WorkspaceRequests highest = Collections.max(leastUrgent.values(), byLevel());
		QueuedRequest last = highest.requests().remove();
		if (highest.requests().isEmpty()) {
			leastUrgent.remove(highest.workspace());
		}
		if (leastUrgent.isEmpty()) {
			this.kept.pollLastEntry();
		}
		this.keptPieces -= last.size();
		changeLevel(highest.workspace(), -1);
		return last;
	}

	// Among equal levels by their next requests, so that the order does not depend on
	// that of a map.
	private Comparator<WorkspaceRequests> byLevel() {
		return Comparator.<WorkspaceRequests>comparingDouble((each) -> level(each.workspace()))
			.thenComparing((each) -> each.requests().element(), QueuedRequest.BY_RETURN_AND_OBJECTIVE)
			.thenComparing(WorkspaceRequests::workspace);
	}

	private double level(String workspace) {
		return this.levels.getOrDefault(workspace, 0.0);
	}

	private void changeLevel(String workspace, double change) {
		this.levels.merge(workspace, change, Double::sum);
	}

	private List<QueuedRequest> inOrder(List<QueuedRequest> deferred) {
		TreeMap<Integer, Map<String, WorkspaceRequests>> classes = new TreeMap<>();
		deferred.forEach((request) -> add(classes, request, QueuedRequest.BY_RETURN_AND_OBJECTIVE));
		List<QueuedRequest> ordered = new ArrayList<>(deferred.size());
		classes.values().forEach((byWorkspace) -> addByLevel(byWorkspace.values(), ordered));
		return ordered;
	}

	// The level of a workspace changes only while it is not in the queue.
	private void addByLevel(Collection<WorkspaceRequests> workspaces, List<QueuedRequest> ordered) {
		PriorityQueue<WorkspaceRequests> lowestFirst = new PriorityQueue<>(byLevel());
		lowestFirst.addAll(workspaces);
		while (!lowestFirst.isEmpty()) {
			WorkspaceRequests lowest = lowestFirst.remove();
			ordered.add(lowest.requests().remove());
			changeLevel(lowest.workspace(), 1);
			if (!lowest.requests().isEmpty()) {
				lowestFirst.add(lowest);
			}
		}
	}

	/**
	 * Requests of one workspace in one class.
	 *
	 * @param workspace the name of the workspace
	 * @param requests its requests; not empty
	 */
	private record WorkspaceRequests(String workspace, PriorityQueue<QueuedRequest> requests) {
	}

}
