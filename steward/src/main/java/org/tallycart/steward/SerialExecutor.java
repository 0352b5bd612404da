package org.tallycart.steward;

/**
 * Executor of the tasks that read and change a steward's state, one at a time.
 *
 * @since 0.1
 */
@FunctionalInterface
interface SerialExecutor {

	/**
	 * Run a task after the tasks submitted before it.
	 * @param name the task's name, for events
	 * @param task the task
	 */
	void execute(String name, Runnable task);

}
