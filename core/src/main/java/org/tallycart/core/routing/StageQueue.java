package org.tallycart.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.tallycart.core.outcome.InvariantViolation;

/**
 * Bounded queue of the calls to one stage that wait on one VM.
 * <p>
 * Items are ordered by priority, the higher first; within a priority by weighted fair
 * sharing between workspaces (start-time fair queueing); and within a workspace by
 * deadline. The queue does not expire items. When it is full, the item that would run
 * last is displaced, so that a flooding workspace displaces its own work.
 * <p>
 * Invariant: the calls in flight never exceed the limit that applied when each was
 * dispatched. Not thread-safe: guarded by the caller's lock.
 *
 * @param <T> the type of the payload of an item
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
	 * @param capacity maximum number of waiting items
	 * @param limit maximum number of calls in flight
	 * @param <T> the type of the payload of an item
	 * @return the queue
	 */
	public static <T> StageQueue<T> create(int capacity, int limit) {
		return new StageQueue<>(capacity, limit);
	}

	/**
	 * Set the maximum number of calls in flight.
	 * @param newLimit the limit; values below 1 count as 1
	 */
	public void setLimit(int newLimit) {
		this.limit = Math.max(newLimit, 1);
	}

	/**
	 * Add work to the queue.
	 * @param work the work
	 * @return the displaced item, which may be the offered one; empty if the queue was
	 * not full
	 */
	public Optional<Item<T>> offer(Work<T> work) {
		double startTag = Math.max(this.virtualTime, this.finishTags.getOrDefault(work.workspace(), 0.0));
		double finishTag = startTag + work.cost() / work.weight();
		this.finishTags.put(work.workspace(), finishTag);
		this.waiting.add(new Item<>(work, startTag, this.sequence++));
		if (this.waiting.size() <= this.capacity) {
			return Optional.empty();
		}
		Item<T> last = this.waiting.stream().max(StageQueue::compare).orElseThrow();
		this.waiting.remove(last);
		return Optional.of(last);
	}

	/**
	 * Dispatch the next item, if the limit allows.
	 * @return the item, whose call must be ended with {@link #release()}; empty if there
	 * is none or the limit is reached
	 */
	public Optional<Item<T>> poll() {
		if (this.inFlight >= this.limit || this.waiting.isEmpty()) {
			return Optional.empty();
		}
		Item<T> next = this.waiting.stream().min(StageQueue::compare).orElseThrow();
		this.waiting.remove(next);
		this.virtualTime = Math.max(this.virtualTime, next.startTag);
		this.inFlight++;
		if (this.waiting.isEmpty()) {
			this.finishTags.values().removeIf((finishTag) -> finishTag <= this.virtualTime);
		}
		return Optional.of(next);
	}

	/**
	 * Remove an item whose caller stopped waiting.
	 * @param payload the payload of the item, compared by identity
	 * @return true if the item was still waiting
	 */
	public boolean cancel(T payload) {
		return this.waiting.removeIf((item) -> item.work.payload() == payload);
	}

	/**
	 * Record the end of a dispatched call.
	 */
	public void release() {
		InvariantViolation.check(this.inFlight > 0, "release() without a call in flight");
		this.inFlight--;
	}

	/**
	 * Return the number of waiting items.
	 * @return the number of items
	 */
	public int waitingCount() {
		return this.waiting.size();
	}

	/**
	 * Return the number of calls in flight.
	 * @return the number of calls
	 */
	public int inFlightCount() {
		return this.inFlight;
	}

	/**
	 * Return the maximum number of calls in flight.
	 * @return the limit
	 */
	public int currentLimit() {
		return this.limit;
	}

	/**
	 * Return the number of waiting items that would be dispatched before a new one. Items
	 * that exceed the fair share of their workspace are not counted.
	 * @param workspace the new item's workspace
	 * @param priority the new item's priority
	 * @return the number of items
	 */
	public int countAhead(String workspace, long priority) {
		double startTag = Math.max(this.virtualTime, this.finishTags.getOrDefault(workspace, 0.0));
		return (int) this.waiting.stream().filter((item) -> {
			long waitingPriority = item.work.priority();
			return waitingPriority > priority || (waitingPriority == priority && item.startTag <= startTag);
		}).count();
	}

	private static int compare(Item<?> left, Item<?> right) {
		int byPriority = Long.compare(right.work.priority(), left.work.priority());
		if (byPriority != 0) {
			return byPriority;
		}
		if (left.work.workspace().equals(right.work.workspace())) {
			int byDeadline = Long.compare(left.work.deadlineMs(), right.work.deadlineMs());
			return (byDeadline != 0) ? byDeadline : Long.compare(left.sequence, right.sequence);
		}
		int byStartTag = Double.compare(left.startTag, right.startTag);
		return (byStartTag != 0) ? byStartTag : Long.compare(left.sequence, right.sequence);
	}

	/**
	 * Work to be queued.
	 *
	 * @param payload the caller's data
	 * @param workspace the workspace that the work belongs to
	 * @param weight the workspace's weight in fair sharing
	 * @param priority the priority; a higher one is dispatched first
	 * @param deadlineMs deadline of the request, in milliseconds
	 * @param cost expected cost of the call, in the same unit for all work
	 * @param <T> the type of the payload
	 */
	public record Work<T>(T payload, String workspace, double weight, long priority, long deadlineMs, double cost) {
	}

	/**
	 * Work in the queue.
	 *
	 * @param <T> the type of the payload
	 */
	public static final class Item<T> {

		private final Work<T> work;

		private final double startTag;

		private final long sequence;

		private Item(Work<T> work, double startTag, long sequence) {
			this.work = work;
			this.startTag = startTag;
			this.sequence = sequence;
		}

		/**
		 * Return the caller's data.
		 * @return the payload
		 */
		public T payload() {
			return this.work.payload();
		}

	}

}
