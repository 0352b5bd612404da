package org.tallycart.core.attempt;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.tallycart.core.serving.Route;

/**
 * Learns after what time an attempt is slower than most others of its route with a prompt
 * of similar size, from the attempts of the last minutes at this VM.
 * <p>
 * Invariant: there is no delay for a route before a minimum of its attempts was recorded.
 * Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class HedgeDelays {

	/** Attempts of a route that have to be recorded before it has a delay. */
	static final int MIN_ATTEMPTS = 50;

	/**
	 * Least delay as a share of the latency objective: whoever waits for the objective
	 * gains nothing from an answer that is earlier still.
	 */
	static final double FLOOR_OF_OBJECTIVE = 0.1;

	/**
	 * Least delay as a multiple of the median. A hedge takes about the median itself, and
	 * where few attempts are slow the quantile is close to it: hedges of attempts that
	 * were about to be answered would then use up the limit.
	 */
	static final int FLOOR_OF_MEDIAN = 2;

	/** Least delay, in milliseconds; covers the time on the network. */
	static final long MIN_DELAY_MS = 10;

	/** Number of routes whose times are kept at most; bounds the memory to some 5 MB. */
	static final int MAX_ROUTES = 500;

	private final Map<String, RouteTimes> routes = new HashMap<>();

	/**
	 * Record an attempt that was answered, or that had waited without an answer when
	 * another one was answered.
	 * @param route the route of the request
	 * @param promptTokens the size of the prompt, in tokens; 0 if there is none
	 * @param ms the time from sending to the first event or reply, or to the
	 * cancellation, in milliseconds
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void record(Route route, int promptTokens, long ms, long nowMs) {
		RouteTimes times = this.routes.get(route.name());
		if (times == null) {
			if (this.routes.size() >= MAX_ROUTES) {
				this.routes.values().removeIf((kept) -> kept.isExpired(nowMs));
			}
			if (this.routes.size() >= MAX_ROUTES) {
				return;
			}
			times = new RouteTimes();
			this.routes.put(route.name(), times);
		}
		times.record(PromptSizeClass.of(promptTokens), ms, nowMs);
	}

	/**
	 * Return when an attempt may be hedged.
	 * @param route the route of the request
	 * @param promptTokens the size of the prompt, in tokens; 0 if there is none
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the delay; empty while too little is known of the route
	 */
	public Optional<HedgeDelay> delay(Route route, int promptTokens, long nowMs) {
		RouteTimes times = this.routes.get(route.name());
		if (times == null) {
			return Optional.empty();
		}
		long floorMs = Math.max(MIN_DELAY_MS, Math.round(route.objectiveMs() * FLOOR_OF_OBJECTIVE));
		return times.delay(PromptSizeClass.of(promptTokens), nowMs)
			.map((delay) -> new HedgeDelay(
					Math.max(delay.afterMs(), Math.max(floorMs, delay.typicalMs() * FLOOR_OF_MEDIAN)),
					delay.typicalMs()));
	}

}
