package org.tallycart.steward;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.tallycart.runtime.process.TaskFailureHandler;

/**
 * The single thread on which a steward's state is read and changed.
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

	private final TaskFailureHandler failureHandler;

	ControlThread(TaskFailureHandler failureHandler) {
		this.failureHandler = failureHandler;
	}

	@Override
	public void execute(String name, Runnable task) {
		if (!this.executor.isShutdown()) {
			this.executor.execute(this.failureHandler.wrap(name, task));
		}
	}

	void scheduleWithFixedDelay(String name, long delayMs, Runnable task) {
		this.executor.scheduleWithFixedDelay(this.failureHandler.wrap(name, task), delayMs, delayMs,
				TimeUnit.MILLISECONDS);
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

}
