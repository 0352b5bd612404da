package org.tallycart.core.pool;

import java.util.List;
import java.util.Set;

/**
 * Load of a pool, as its dispatcher sees it.
 *
 * @param service the name of the pool
 * @param callMs expected duration of the next call, in milliseconds
 * @param priorities the queued work of each priority that has any
 * @since 0.1
 */
public record PoolLoad(String service, long callMs, List<PriorityLoad> priorities) {

	/**
	 * Return how long a new piece takes from its submission to its outcome, if it can be
	 * on time: it waits for all work on time that is at least as urgent.
	 * @param priority the priority of the piece; 0 is the most urgent
	 * @return milliseconds
	 */
	public long expectedMs(int priority) {
		return this.callMs + this.priorities.stream()
			.filter((load) -> load.priority() <= priority)
			.mapToLong(PriorityLoad::onTimeMs)
			.sum();
	}

	/**
	 * Return the late work that a new piece would come behind: that of more urgent
	 * priorities, and that of its own if its workspace has late work itself. A workspace
	 * below its share has none.
	 * @param priority the priority of the piece; 0 is the most urgent
	 * @param workspace the workspace of its caller; empty without one
	 * @return milliseconds of all workers' time
	 */
	public long lateMs(int priority, String workspace) {
		return this.priorities.stream()
			.filter((load) -> load.priority() < priority
					|| (load.priority() == priority && load.lateWorkspaces().contains(workspace)))
			.mapToLong(PriorityLoad::lateMs)
			.sum();
	}

	/**
	 * Queued work of one priority, in milliseconds of all workers' time.
	 *
	 * @param priority the priority; 0 is the most urgent
	 * @param onTimeMs work that can be on time
	 * @param lateMs work that will be late
	 * @param lateWorkspaces the workspaces that have late work, up to a maximum number
	 */
	public record PriorityLoad(int priority, long onTimeMs, long lateMs, Set<String> lateWorkspaces) {

		/**
		 * Maximum number of workspaces, which bounds the messages that state a load. The
		 * requests of others are not rejected on arrival.
		 */
		static final int MAX_LATE_WORKSPACES = 64;

	}

}
