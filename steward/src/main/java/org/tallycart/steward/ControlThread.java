package org.tallycart.steward;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.tallycart.runtime.process.TaskFailureHandler;

/**
 * The one thread on which all of a steward's state is read and changed.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
final class ControlThread implements SerialExecutor, AutoCloseable {

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "control");
		thread.setDaemon(true);
		return thread;
	});

	private final TaskFailureHandler guard;

	ControlThread(TaskFailureHandler guard) {
		this.guard = guard;
	}

	@Override
	public void execute(String name, Runnable task) {
		if (!this.executor.isShutdown()) {
			this.executor.execute(this.guard.wrap(name, task));
		}
	}

	void every(String name, long intervalMs, Runnable task) {
		this.executor.scheduleWithFixedDelay(this.guard.wrap(name, task), intervalMs, intervalMs,
				TimeUnit.MILLISECONDS);
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

}
