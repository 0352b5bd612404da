package org.tallycart.steward;

/**
 * Where a steward's state is read and changed, one task at a time.
 *
 * @since 0.1
 */
@FunctionalInterface
interface SerialExecutor {

	/**
	 * Run a task after those before it.
	 * @param name the task's name in events
	 * @param task the task
	 */
	void execute(String name, Runnable task);

}
