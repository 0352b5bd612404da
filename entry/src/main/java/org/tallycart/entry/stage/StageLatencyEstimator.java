package org.tallycart.entry.stage;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.tallycart.core.declaration.Service;
import org.tallycart.core.declaration.StageKind;
import org.tallycart.core.routing.LatencyWindow;

/**
 * How long calls of each service have taken lately, and so can be expected to take.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class StageLatencyEstimator {

	private static final int WINDOW = 128;

	private static final double MEDIAN = 0.5;

	private static final double EXPECTED = 0.75;

	private static final double SLOW = 0.95;

	private static final int SAMPLES_TO_TRUST = 20;

	private static final int TOKENS_TO_JUDGE = 4;

	private static final double STRAGGLER = 3;

	private static final long MICROS = 1000;

	private static final long STALL_MS = 2_000;

	private final Map<String, LatencyWindow> calls = new ConcurrentHashMap<>();

	private final Map<String, LatencyWindow> tokenMicros = new ConcurrentHashMap<>();

	void addCall(Service service, long millis) {
		window(this.calls, service).add(millis);
	}

	void addTokens(Service service, long millis, int tokens) {
		if (tokens > 0) {
			window(this.tokenMicros, service).add(millis * MICROS / tokens);
		}
	}

	private static LatencyWindow window(Map<String, LatencyWindow> windows, Service service) {
		return windows.computeIfAbsent(service.id(), (key) -> LatencyWindow.ofSize(WINDOW));
	}

	/**
	 * Return how long a call can be expected to take: three of four take less.
	 * @param service the service
	 * @param maxTokens tokens the call may generate
	 * @return milliseconds; 0 while nothing is known
	 */
	public long expectedMs(Service service, int maxTokens) {
		long call = window(this.calls, service).quantile(EXPECTED, 0);
		if (service.kind() != StageKind.GENERATE) {
			return call;
		}
		return call + window(this.tokenMicros, service).quantile(EXPECTED, 0) * maxTokens / MICROS;
	}

	/**
	 * Return after how long a call is slow, so that a second one is worth its cost.
	 * @param service the service
	 * @return milliseconds; {@link Long#MAX_VALUE} while too little is known
	 */
	long hedgeDelayMs(Service service) {
		LatencyWindow window = window(this.calls, service);
		if (window.size() < SAMPLES_TO_TRUST) {
			return Long.MAX_VALUE;
		}
		return Math.max(2 * window.quantile(SLOW, 0), 2 * window.quantile(MEDIAN, 0) + 5);
	}

	/**
	 * Return how long to wait for the next bytes of a stream.
	 * @param service the service
	 * @return milliseconds
	 */
	long idleTimeoutMs(Service service) {
		long slow = hedgeDelayMs(service);
		return (slow != Long.MAX_VALUE) ? Math.max(STALL_MS, slow) : 2 * STALL_MS;
	}

	/**
	 * Return whether a stream is so slow that it will miss its deadline, while another
	 * upstream could still make it.
	 * @param service the service
	 * @param tokens tokens that have come
	 * @param elapsedMs time since the first of them
	 * @param tokensLeft tokens still to come
	 * @param remainingMs time left to the deadline
	 * @return true if the rest is better asked for elsewhere
	 */
	boolean isFasterElsewhere(Service service, int tokens, long elapsedMs, int tokensLeft, long remainingMs) {
		long usualMicros = window(this.tokenMicros, service).quantile(MEDIAN, 0);
		if (tokens < TOKENS_TO_JUDGE || usualMicros == 0) {
			return false;
		}
		double ownMicros = (double) elapsedMs * MICROS / tokens;
		boolean misses = ownMicros * tokensLeft / MICROS > remainingMs;
		return misses && ownMicros > STRAGGLER * usualMicros && expectedMs(service, tokensLeft) < remainingMs;
	}

}
