package org.tallycart.core.attempt;

import java.util.PriorityQueue;

/**
 * Virtual time, and the actions that are due in it.
 * <p>
 * Invariants: time does not go back, and actions of one time run in the order in which
 * they were scheduled. Not thread-safe.
 */
final class VirtualClock {

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private long nowMs;

	private long sequence;

	long nowMs() {
		return this.nowMs;
	}

	/**
	 * Schedule an action.
	 * @param delayMs the time until then
	 * @param action the action
	 */
	void after(long delayMs, Runnable action) {
		this.events.add(new Event(this.nowMs + delayMs, this.sequence++, action));
	}

	void every(long intervalMs, long untilMs, Runnable action) {
		if (this.nowMs < untilMs) {
			action.run();
			after(intervalMs, () -> every(intervalMs, untilMs, action));
		}
	}

	void run(long ms) {
		long end = this.nowMs + ms;
		while (!this.events.isEmpty() && this.events.peek().atMs <= end) {
			Event event = this.events.poll();
			this.nowMs = event.atMs;
			event.action.run();
		}
		this.nowMs = end;
	}

	/**
	 * An action at a time.
	 *
	 * @param atMs the time
	 * @param number the order among events of one time
	 * @param action the action
	 */
	private record Event(long atMs, long number, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			return (this.atMs != other.atMs) ? Long.compare(this.atMs, other.atMs)
					: Long.compare(this.number, other.number);
		}

	}

}
