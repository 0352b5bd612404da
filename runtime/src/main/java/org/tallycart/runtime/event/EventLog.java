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
 * A process's events: the latest in memory for the time line, and each in the log at its
 * code's level.
 * <p>
 * Invariant: events are kept in the order of their timestamps. Thread-safe.
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
	 * @param process the process's name in the time line
	 * @param capacity how many events are kept
	 * @param clock the process's hybrid clock
	 * @param clocks the process's clocks
	 * @return the log
	 */
	public static EventLog create(String process, int capacity, HybridClock clock, Clocks clocks) {
		return new EventLog(process, capacity, clock, clocks);
	}

	/**
	 * Record an event that belongs to no request.
	 * @param code what kind
	 * @param detail what happened
	 */
	public void emit(EventCode code, String detail) {
		emit(code, "", detail);
	}

	/**
	 * Record an event.
	 * @param code what kind
	 * @param requestId the request
	 * @param detail what happened
	 */
	public void emit(EventCode code, String requestId, String detail) {
		keep(code, requestId, detail);
		if (LOGGER.isEnabledForLevel(code.level())) {
			String request = requestId.isEmpty() ? "" : " request=" + requestId;
			LOGGER.atLevel(code.level()).log("{}{} {}", code.code(), request, detail);
		}
	}

	private synchronized void keep(EventCode code, String requestId, String detail) {
		HybridTimestamp at = this.clock.tick(this.clocks.wallMs());
		this.latest.addLast(new Event(at, this.process, code, requestId, detail));
		if (this.latest.size() > this.capacity) {
			this.latest.removeFirst();
		}
	}

	/**
	 * Return kept events.
	 * @param requestId only those of this request; empty for all
	 * @return the events, oldest first
	 */
	public synchronized List<Event> events(String requestId) {
		if (requestId.isEmpty()) {
			return new ArrayList<>(this.latest);
		}
		return this.latest.stream().filter((event) -> event.requestId().equals(requestId)).toList();
	}

	/**
	 * Return the process's hybrid clock.
	 * @return the clock
	 */
	public HybridClock clock() {
		return this.clock;
	}

}
