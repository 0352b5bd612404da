package org.tallycart.runtime.event;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.tallycart.core.time.HybridClock;
import org.tallycart.core.time.HybridTimestamp;
import org.tallycart.runtime.process.Clocks;

/**
 * Records the events of a process: writes each to the log at the level of its code, and
 * keeps the latest in memory for the timeline.
 * <p>
 * Invariant: events in memory are ordered by timestamp. Thread-safe.
 *
 * @since 0.1
 */
public final class EventLog {

	private static final Logger LOGGER = LoggerFactory.getLogger("tallycart");

	private final String process;

	private final int capacity;

	private final HybridClock clock;

	private final Clocks clocks;

	private final Deque<Event> latest = new ArrayDeque<>();

	private EventLog(String process, int capacity, HybridClock clock, Clocks clocks) {
		this.process = process;
		this.capacity = capacity;
		this.clock = clock;
		this.clocks = clocks;
	}

	/**
	 * Create a log.
	 * @param process the name of the process in the timeline
	 * @param capacity the maximum number of events kept in memory
	 * @param clock the hybrid clock of the process
	 * @param clocks the clocks of the process
	 * @return the log
	 */
	public static EventLog create(String process, int capacity, HybridClock clock, Clocks clocks) {
		return new EventLog(process, capacity, clock, clocks);
	}

	/**
	 * Record an event that belongs to no request.
	 * @param code the event code
	 * @param detail a description of the event
	 */
	public void emit(EventCode code, String detail) {
		emit(code, "", detail);
	}

	/**
	 * Record an event.
	 * @param code the event code
	 * @param requestId the ID of the request, or empty if there is none
	 * @param detail a description of the event
	 */
	public void emit(EventCode code, String requestId, String detail) {
		append(code, requestId, detail);
		if (LOGGER.isEnabledForLevel(code.level())) {
			String request = requestId.isEmpty() ? "" : " request=" + LogText.escape(requestId);
			LOGGER.atLevel(code.level()).log("{}{} {}", code.code(), request, LogText.escape(detail));
		}
	}

	private synchronized void append(EventCode code, String requestId, String detail) {
		HybridTimestamp timestamp = this.clock.tick(this.clocks.wallMs());
		this.latest.addLast(new Event(timestamp, this.process, code, requestId, detail));
		if (this.latest.size() > this.capacity) {
			this.latest.removeFirst();
		}
	}

	/**
	 * Return the events in memory.
	 * @param requestId the ID of the request to filter by, or empty for all events
	 * @return the events, oldest first
	 */
	public synchronized List<Event> events(String requestId) {
		if (requestId.isEmpty()) {
			return new ArrayList<>(this.latest);
		}
		return this.latest.stream().filter((event) -> event.requestId().equals(requestId)).toList();
	}

	/**
	 * Return the hybrid clock of the process.
	 * @return the clock
	 */
	public HybridClock clock() {
		return this.clock;
	}

}
