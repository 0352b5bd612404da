package org.tallycart.core.serving;

import java.util.Optional;

/**
 * How urgent a request is: by its workspace first, and by its route among those whose
 * workspaces are equal. A workspace's level does not replace the route's, or kinds of
 * requests of equal workspaces could not be told apart when a pool is short of time.
 * <p>
 * Immutable.
 *
 * @param workspace the workspace's level; 0 is the most urgent
 * @param route the route's level; 0 is the most urgent
 * @since 0.1
 */
public record RequestPriority(int workspace, int route) {

	/** Level of a request without a workspace, or whose workspace has none. */
	private static final int ORDINARY_LEVEL = 1;

	/** Levels that are told apart where requests are put in order. */
	private static final int LEVELS = 10;

	/**
	 * Levels that are told apart at model engines, which know ten ranks in all: three of
	 * workspaces and three of routes make nine.
	 */
	private static final int ENGINE_LEVELS = 3;

	/**
	 * Return a request's rank.
	 * @param workspace the workspace that holds the caller's key
	 * @param route its route
	 * @return the rank
	 */
	public static RequestPriority of(Optional<Workspace> workspace, Route route) {
		return new RequestPriority(workspace.flatMap(Workspace::priority).orElse(ORDINARY_LEVEL), route.priority());
	}

	/**
	 * Return a number by which requests are put in order.
	 * @return 0 or more; less is more urgent
	 */
	public int sortKey() {
		return combined(LEVELS);
	}

	/**
	 * Return the rank that a model engine is told.
	 * @return 0 to 8; less is more urgent
	 */
	public int enginePriority() {
		return combined(ENGINE_LEVELS);
	}

	private int combined(int levels) {
		return limited(this.workspace, levels) * levels + limited(this.route, levels);
	}

	private static int limited(int level, int levels) {
		return Math.max(0, Math.min(level, levels - 1));
	}

}
