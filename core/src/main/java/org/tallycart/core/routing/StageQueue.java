package org.tallycart.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.tallycart.core.outcome.InvariantViolation;

/**
 * Bounded queue of the work that waits for one stage on one VM.
 * <p>
 * Order: higher priority first; within a priority fair between workspaces by weight
 * (start-time fair queueing); within a workspace by deadline. Work whose deadline can no
 * longer be met is dropped when it reaches the front, never run. When the queue is full,
 * the work that would run last gives way, so that a flooding workspace displaces its own
 * work.
 * <p>
 * Invariant: calls in flight never exceed the limit that held when each was let go. Not
 * thread-safe: guarded by its user's lock.
 *
 * @param <T> what the user attaches to an item
 * @since 0.1
 */
public final class StageQueue<T> {

	private final int capacity;

	private final List<Item<T>> waiting = new ArrayList<>();

	private final Map<String, Double> finishTags = new HashMap<>();

	private double virtualTime;

	private int limit;

	private int inFlight;

	private long sequence;

	private StageQueue(int capacity, int limit) {
		this.capacity = capacity;
		this.limit = limit;
	}

	/**
	 * Create a queue.
	 * @param capacity how many items may wait
	 * @param limit how many calls may be in flight
	 * @param <T> what the user attaches to an item
	 * @return the queue
	 */
	public static <T> StageQueue<T> create(int capacity, int limit) {
		return new StageQueue<>(capacity, limit);
	}

	/**
	 * Change how many calls may be in flight.
	 * @param newLimit the limit, at least 1
	 */
	public void setLimit(int newLimit) {
		this.limit = Math.max(newLimit, 1);
	}

	/**
	 * Put work into the queue.
	 * @param work what to queue
	 * @return the item that had to give way, which may be the offered one; empty if none
	 * had
	 */
	public Optional<Item<T>> offer(Work<T> work) {
		double start = Math.max(this.virtualTime, this.finishTags.getOrDefault(work.workspace(), 0.0));
		double finish = start + work.cost() / work.weight();
		this.finishTags.put(work.workspace(), finish);
		this.waiting.add(new Item<>(work, start, this.sequence++));
		if (this.waiting.size() <= this.capacity) {
			return Optional.empty();
		}
		Item<T> last = this.waiting.stream().max(StageQueue::order).orElseThrow();
		this.waiting.remove(last);
		return Optional.of(last);
	}

	/**
	 * Let the next item go, if the limit allows.
	 * @return the item, which the user must end with {@link #release()}; or empty
	 */
	public Optional<Item<T>> poll() {
		if (this.inFlight >= this.limit || this.waiting.isEmpty()) {
			return Optional.empty();
		}
		Item<T> next = this.waiting.stream().min(StageQueue::order).orElseThrow();
		this.waiting.remove(next);
		this.virtualTime = Math.max(this.virtualTime, next.start);
		this.inFlight++;
		if (this.waiting.isEmpty()) {
			this.finishTags.values().removeIf((tag) -> tag <= this.virtualTime);
		}
		return Optional.of(next);
	}

	/**
	 * Take out one item, whose owner gave up waiting.
	 * @param payload what was attached to it
	 * @return whether it was waiting still
	 */
	public boolean cancel(T payload) {
		return this.waiting.removeIf((item) -> item.work.payload() == payload);
	}

	/**
	 * Record that a call which was let go has ended.
	 */
	public void release() {
		InvariantViolation.check(this.inFlight > 0, "a call ended that was not in flight");
		this.inFlight--;
	}

	/**
	 * Return how many items wait.
	 * @return the number
	 */
	public int waitingCount() {
		return this.waiting.size();
	}

	/**
	 * Return how many calls are in flight.
	 * @return the number
	 */
	public int inFlightCount() {
		return this.inFlight;
	}

	/**
	 * Return how many calls may be in flight.
	 * @return the limit
	 */
	public int currentLimit() {
		return this.limit;
	}

	/**
	 * Return how many waiting items would go before a new one. Items of a workspace that
	 * waits with more than its share go after it.
	 * @param workspace the new item's workspace
	 * @param priority its priority
	 * @return the number
	 */
	public int countAhead(String workspace, long priority) {
		double start = Math.max(this.virtualTime, this.finishTags.getOrDefault(workspace, 0.0));
		return (int) this.waiting.stream().filter((item) -> {
			long other = item.work.priority();
			return other > priority || (other == priority && item.start <= start);
		}).count();
	}

	private static int order(Item<?> one, Item<?> two) {
		int byPriority = Long.compare(two.work.priority(), one.work.priority());
		if (byPriority != 0) {
			return byPriority;
		}
		if (one.work.workspace().equals(two.work.workspace())) {
			int byDeadline = Long.compare(one.work.deadlineMs(), two.work.deadlineMs());
			return (byDeadline != 0) ? byDeadline : Long.compare(one.sequence, two.sequence);
		}
		int byStart = Double.compare(one.start, two.start);
		return (byStart != 0) ? byStart : Long.compare(one.sequence, two.sequence);
	}

	/**
	 * Work to queue.
	 *
	 * @param payload what the user attaches
	 * @param workspace whose work it is
	 * @param weight the workspace's weight
	 * @param priority a higher one goes first
	 * @param deadlineMs when the whole request is due
	 * @param cost expected cost of the call
	 * @param <T> what the user attaches
	 */
	public record Work<T>(T payload, String workspace, double weight, long priority, long deadlineMs, double cost) {
	}

	/**
	 * Work in the queue.
	 *
	 * @param <T> what the user attaches
	 */
	public static final class Item<T> {

		private final Work<T> work;

		private final double start;

		private final long sequence;

		private Item(Work<T> work, double start, long sequence) {
			this.work = work;
			this.start = start;
			this.sequence = sequence;
		}

		/**
		 * Return what the user attached.
		 * @return the payload
		 */
		public T payload() {
			return this.work.payload();
		}

	}

}
