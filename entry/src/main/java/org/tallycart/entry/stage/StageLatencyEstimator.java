package org.tallycart.entry.stage;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.tallycart.core.declaration.Service;
import org.tallycart.core.declaration.StageKind;
import org.tallycart.core.routing.LatencyWindow;

/**
 * Estimates the latency of calls of each service from recent calls.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class StageLatencyEstimator {

	private static final int WINDOW_SIZE = 128;

	private static final double MEDIAN = 0.5;

	private static final double EXPECTED_QUANTILE = 0.75;

	private static final double SLOW_QUANTILE = 0.95;

	private static final int MIN_SAMPLES = 20;

	private static final int MIN_TOKENS = 4;

	private static final double STRAGGLER_FACTOR = 3;

	private static final long MICROS_PER_MILLI = 1000;

	private static final long MIN_IDLE_TIMEOUT_MS = 2_000;

	private final Map<String, LatencyWindow> callMillis = new ConcurrentHashMap<>();

	private final Map<String, LatencyWindow> tokenMicros = new ConcurrentHashMap<>();

	void addCall(Service service, long millis) {
		window(this.callMillis, service).add(millis);
	}

	void addTokens(Service service, long millis, int tokens) {
		if (tokens > 0) {
			window(this.tokenMicros, service).add(millis * MICROS_PER_MILLI / tokens);
		}
	}

	private static LatencyWindow window(Map<String, LatencyWindow> windows, Service service) {
		return windows.computeIfAbsent(service.id(), (key) -> LatencyWindow.ofSize(WINDOW_SIZE));
	}

	/**
	 * Return the expected time of a call, an upper quantile of recent calls.
	 * @param service the service
	 * @param maxTokens maximum number of tokens that the call generates
	 * @return milliseconds; 0 without samples
	 */
	public long expectedMs(Service service, int maxTokens) {
		long call = window(this.callMillis, service).quantile(EXPECTED_QUANTILE, 0);
		if (service.kind() != StageKind.GENERATE) {
			return call;
		}
		return call + window(this.tokenMicros, service).quantile(EXPECTED_QUANTILE, 0) * maxTokens / MICROS_PER_MILLI;
	}

	/**
	 * Return the time after which a call counts as slow and a hedged attempt may start.
	 * @param service the service
	 * @return milliseconds; {@link Long#MAX_VALUE} with too few samples
	 */
	long hedgeDelayMs(Service service) {
		LatencyWindow window = window(this.callMillis, service);
		if (window.size() < MIN_SAMPLES) {
			return Long.MAX_VALUE;
		}
		return Math.max(2 * window.quantile(SLOW_QUANTILE, 0), 2 * window.quantile(MEDIAN, 0) + 5);
	}

	/**
	 * Return the maximum wait for the next bytes of a stream.
	 * @param service the service
	 * @return milliseconds
	 */
	long idleTimeoutMs(Service service) {
		long delayMs = hedgeDelayMs(service);
		return (delayMs != Long.MAX_VALUE) ? Math.max(MIN_IDLE_TIMEOUT_MS, delayMs) : 2 * MIN_IDLE_TIMEOUT_MS;
	}

	/**
	 * Return whether a stream is so slow that it will miss its deadline, while another
	 * upstream is expected to meet it.
	 * @param service the service
	 * @param tokens number of tokens received
	 * @param elapsedMs time since the first token, in milliseconds
	 * @param tokensLeft number of tokens still to generate
	 * @param remainingMs time left to the deadline, in milliseconds
	 * @return true if the remaining tokens should be requested from another upstream
	 */
	boolean isFasterElsewhere(Service service, int tokens, long elapsedMs, int tokensLeft, long remainingMs) {
		long medianMicros = window(this.tokenMicros, service).quantile(MEDIAN, 0);
		if (tokens < MIN_TOKENS || medianMicros == 0) {
			return false;
		}
		double streamMicros = (double) elapsedMs * MICROS_PER_MILLI / tokens;
		boolean missesDeadline = streamMicros * tokensLeft / MICROS_PER_MILLI > remainingMs;
		return missesDeadline && streamMicros > STRAGGLER_FACTOR * medianMicros
				&& expectedMs(service, tokensLeft) < remainingMs;
	}

}
