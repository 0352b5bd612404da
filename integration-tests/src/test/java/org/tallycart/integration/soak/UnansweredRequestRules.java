package org.tallycart.integration.soak;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.tallycart.core.ini.Address;

/**
 * Decides which requests may end without a complete response, given when VMs were stopped
 * or killed.
 * <p>
 * Thread-safe.
 */
final class UnansweredRequestRules {

	/**
	 * Time from the request to stop until a stream that is still under way may be broken,
	 * in milliseconds: the last sixth of the grace time begins.
	 */
	private static final long END_OF_GRACE_MS = SoakNode.GRACE_MS * 5 / 6;

	/**
	 * Time before the deadline of a stream from which it may be broken, in milliseconds:
	 * its VM reserves 15 ms for the response, and clocks are rounded.
	 */
	private static final long DEADLINE_MARGIN_MS = 20;

	private final Map<Address, Long> stoppedMs = new ConcurrentHashMap<>();

	private final Map<Address, Long> killedMs = new ConcurrentHashMap<>();

	void stop(SoakNode node) {
		this.stoppedMs.put(node.callers(), nowMs());
		node.process().requestStop();
	}

	void kill(SoakNode node) {
		this.killedMs.put(node.callers(), nowMs());
		node.process().kill();
	}

	static long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	/**
	 * Return why a request must not have ended without a complete response. A VM that was
	 * killed owes none; a VM that stops owes one to each request that it has read, except
	 * for streams that are under way at the end of the grace time.
	 * @param request the request
	 * @param wasRead returns whether a VM has read the request of an ID
	 * @return the reason; empty if it may
	 */
	Optional<String> problem(UnansweredRequest request, Predicate<String> wasRead) {
		if (hasPassed(this.killedMs, request, 0)) {
			return Optional.empty();
		}
		if (request.begun()) {
			boolean atDeadline = request.elapsedMs() >= SoakCallers.STREAM_TIMEOUT_MS - DEADLINE_MARGIN_MS;
			boolean allowed = atDeadline || hasPassed(this.stoppedMs, request, END_OF_GRACE_MS);
			return allowed ? Optional.empty() : Optional.of("broken: " + describe(request));
		}
		return wasRead.test(request.id()) ? Optional.of("read and not answered: " + describe(request))
				: Optional.empty();
	}

	// Returns whether the request ended later than its VM was stopped or killed.
	private static boolean hasPassed(Map<Address, Long> timesMs, UnansweredRequest request, long delayMs) {
		Long atMs = timesMs.get(request.vm());
		return atMs != null && request.endedMs() >= atMs + delayMs;
	}

	private String describe(UnansweredRequest request) {
		long sinceStopMs = request.endedMs() - this.stoppedMs.getOrDefault(request.vm(), request.endedMs());
		return request + ", after " + request.elapsedMs() + " ms, " + sinceStopMs + " ms after a stop";
	}

}
