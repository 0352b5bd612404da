package org.tallycart.node;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * The event loop, to which all state of the process belongs, and its steady clock.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class Loop {

	private static final long NANOS_IN_MS = 1_000_000;

	private final ScheduledExecutorService executor;

	/**
	 * Wrap an event loop.
	 * @param executor the loop, of one thread
	 */
	public Loop(ScheduledExecutorService executor) {
		this.executor = executor;
	}

	/**
	 * Return the steady clock.
	 * @return milliseconds from a fixed point
	 */
	public long nowMs() {
		return System.nanoTime() / NANOS_IN_MS;
	}

	/**
	 * Run a task once.
	 * @param delayMs when, in milliseconds from now
	 * @param task the task
	 * @return cancels it
	 */
	public ScheduledFuture<?> after(long delayMs, Runnable task) {
		return this.executor.schedule(task, Math.max(delayMs, 0), TimeUnit.MILLISECONDS);
	}

	/**
	 * Run a task again and again.
	 * @param periodMs the pause between two runs, in milliseconds
	 * @param task the task
	 */
	public void every(long periodMs, Runnable task) {
		this.executor.scheduleWithFixedDelay(task, periodMs, periodMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Run a task after what the loop does now.
	 * @param task the task
	 */
	public void later(Runnable task) {
		this.executor.execute(task);
	}

	/**
	 * Return the loop for libraries that schedule on it.
	 * @return the executor
	 */
	public ScheduledExecutorService executor() {
		return this.executor;
	}

}
