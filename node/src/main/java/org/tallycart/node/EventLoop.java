package org.tallycart.node;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.tallycart.runtime.process.Guard;

/**
 * The event loop, to which all state of the process belongs, and its steady clock.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class EventLoop {

	private static final long NANOS_IN_MS = 1_000_000;

	private final ScheduledExecutorService executor;

	private final Guard guard;

	private final LongSupplier clock;

	/**
	 * Wrap an event loop that runs on this process's clock.
	 * @param executor the loop, of one thread
	 * @param guard takes what a task throws: a repeated task that fails runs again
	 */
	public EventLoop(ScheduledExecutorService executor, Guard guard) {
		this(executor, guard, EventLoop::steadyMs);
	}

	/**
	 * Wrap an event loop.
	 * @param executor the loop, of one thread
	 * @param guard takes what a task throws: a repeated task that fails runs again
	 * @param clock the steady clock on which the loop runs, in milliseconds
	 */
	public EventLoop(ScheduledExecutorService executor, Guard guard, LongSupplier clock) {
		this.executor = executor;
		this.guard = guard;
		this.clock = clock;
	}

	/**
	 * Return the steady clock.
	 * @return milliseconds from a fixed point
	 */
	public long nowMs() {
		return this.clock.getAsLong();
	}

	/**
	 * Return the steady clock, where no loop is there yet.
	 * @return milliseconds from a fixed point
	 */
	public static long steadyMs() {
		return System.nanoTime() / NANOS_IN_MS;
	}

	/**
	 * Run a task once.
	 * @param delayMs when, in milliseconds from now
	 * @param task the task
	 * @return cancels it
	 */
	public ScheduledFuture<?> schedule(long delayMs, Runnable task) {
		return this.executor.schedule(guarded(task), Math.max(delayMs, 0), TimeUnit.MILLISECONDS);
	}

	/**
	 * Run a task again and again.
	 * @param periodMs the pause between two runs, in milliseconds
	 * @param task the task
	 */
	public void scheduleWithFixedDelay(long periodMs, Runnable task) {
		this.executor.scheduleWithFixedDelay(guarded(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Run a task after what the loop does now.
	 * @param task the task
	 */
	public void execute(Runnable task) {
		this.executor.execute(guarded(task));
	}

	private Runnable guarded(Runnable task) {
		return this.guard.wrap("event loop", task);
	}

	/**
	 * Return the loop for libraries that schedule on it.
	 * @return the executor
	 */
	public ScheduledExecutorService executor() {
		return this.executor;
	}

}
