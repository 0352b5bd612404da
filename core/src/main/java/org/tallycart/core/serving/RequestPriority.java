package org.tallycart.core.serving;

import java.util.Optional;

/**
 * Priority of a request: the level of its workspace, then the level of its route. Both
 * are kept so that requests of equal workspaces are still ordered by route when a pool is
 * overloaded.
 * <p>
 * Immutable.
 *
 * @param workspace level of the workspace; 0 is the most urgent
 * @param route level of the route; 0 is the most urgent
 * @since 0.1
 */
public record RequestPriority(int workspace, int route) {

	/** Level of a request without a workspace or whose workspace has no level. */
	private static final int DEFAULT_LEVEL = 1;

	/** Number of distinct levels in the sort key. */
	private static final int LEVELS = 10;

	/**
	 * Number of distinct levels at model engines, which accept ten priorities: three
	 * workspace levels and three route levels use nine.
	 */
	private static final int ENGINE_LEVELS = 3;

	/**
	 * Return the priority of a request.
	 * @param workspace the workspace of the caller's key
	 * @param route the route of the request
	 * @return the priority
	 */
	public static RequestPriority of(Optional<Workspace> workspace, Route route) {
		return new RequestPriority(workspace.flatMap(Workspace::priority).orElse(DEFAULT_LEVEL), route.priority());
	}

	/**
	 * Return the sort key of the priority.
	 * @return 0 or more; a smaller value is more urgent
	 */
	public int sortKey() {
		return combine(LEVELS);
	}

	/**
	 * Return the priority to send to a model engine.
	 * @return 0 to 8; a smaller value is more urgent
	 */
	public int enginePriority() {
		return combine(ENGINE_LEVELS);
	}

	private int combine(int levels) {
		return clamp(this.workspace, levels) * levels + clamp(this.route, levels);
	}

	private static int clamp(int level, int levels) {
		return Math.max(0, Math.min(level, levels - 1));
	}

}
