package org.tallycart.node;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.tallycart.runtime.process.TaskFailureHandler;

/**
 * The event loop to which all state of the process is confined, and its monotonic clock.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class EventLoop {

	private static final long NANOS_PER_MS = 1_000_000;

	private final ScheduledExecutorService executor;

	private final TaskFailureHandler guard;

	private final LongSupplier clock;

	/**
	 * Create an event loop that uses the monotonic clock of this process.
	 * @param executor the single-threaded executor
	 * @param guard handles exceptions of tasks: a periodic task that fails runs again
	 */
	public EventLoop(ScheduledExecutorService executor, TaskFailureHandler guard) {
		this(executor, guard, EventLoop::monotonicMs);
	}

	/**
	 * Create an event loop.
	 * @param executor the single-threaded executor
	 * @param guard handles exceptions of tasks: a periodic task that fails runs again
	 * @param clock the monotonic clock of the executor, in milliseconds
	 */
	public EventLoop(ScheduledExecutorService executor, TaskFailureHandler guard, LongSupplier clock) {
		this.executor = executor;
		this.guard = guard;
		this.clock = clock;
	}

	/**
	 * Return the time on the monotonic clock.
	 * @return milliseconds since an arbitrary, fixed point
	 */
	public long nowMs() {
		return this.clock.getAsLong();
	}

	/**
	 * Return the time on the monotonic clock of this process.
	 * @return milliseconds since an arbitrary, fixed point
	 */
	public static long monotonicMs() {
		return System.nanoTime() / NANOS_PER_MS;
	}

	/**
	 * Schedule a task to run once.
	 * @param delayMs the delay from now, in milliseconds
	 * @param task the task
	 * @return a future that cancels the task
	 */
	public ScheduledFuture<?> schedule(long delayMs, Runnable task) {
		return this.executor.schedule(guarded(task), Math.max(delayMs, 0), TimeUnit.MILLISECONDS);
	}

	/**
	 * Schedule a task to run periodically.
	 * @param delayMs the delay before the first run and between two runs, in milliseconds
	 * @param task the task
	 */
	public void scheduleWithFixedDelay(long delayMs, Runnable task) {
		this.executor.scheduleWithFixedDelay(guarded(task), delayMs, delayMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Run a task after the current one.
	 * @param task the task
	 */
	public void execute(Runnable task) {
		this.executor.execute(guarded(task));
	}

	private Runnable guarded(Runnable task) {
		return this.guard.wrap("event loop", task);
	}

	/**
	 * Return the executor, for libraries that schedule tasks on it.
	 * @return the executor
	 */
	public ScheduledExecutorService executor() {
		return this.executor;
	}

}
