package org.tallycart.core.upstream;

import java.util.HashMap;
import java.util.Map;

import org.tallycart.core.serving.Prompt;

/**
 * The speeds at which the engines of each service read prompts, learnt from the times to
 * the first event on engines that were idle.
 * <p>
 * The median is tracked by steps of a fixed ratio, so that prompts whose shared parts
 * were not cached, and engines that were slow without saying so, have little effect.
 * <p>
 * Invariant: a speed stays within the bounds around the initial one. Not thread-safe:
 * belongs to one event loop.
 *
 * @since 0.1
 */
public final class ReadingSpeeds {

	/** Bounds of a speed, as multiples of the initial one. */
	private static final double MIN_RATIO = 0.25;

	private static final double MAX_RATIO = 8;

	/** Steps while little and while much has been observed, as ratios. */
	private static final double FIRST_STEP = 0.1;

	private static final double LAST_STEP = 0.02;

	/** Number of observations over which the step halves. */
	private static final double STEP_HALVING = 20;

	/**
	 * Minimum number of tokens to read from which on the time tells the speed rather than
	 * the overhead of a request.
	 */
	private static final double MIN_TOKENS = 1_000;

	private final Map<String, Speed> speeds = new HashMap<>();

	/**
	 * Return the cost of prompts at the engines of a service.
	 * @param service the service
	 * @return the cost at the learnt speed; {@link PromptCost#INITIAL} if none is learnt
	 */
	public PromptCost cost(String service) {
		Speed speed = this.speeds.get(service);
		return (speed != null) ? speed.cost : PromptCost.INITIAL;
	}

	/**
	 * Record the time to the first event of a request at an engine that was idle.
	 * @param service the service
	 * @param prompt the prompt of the request
	 * @param firstEventMs the time to the first event at the usual speed of the engine,
	 * in milliseconds
	 * @return whether the prompt is long enough to tell the speed
	 */
	public boolean onFirstEvent(String service, Prompt prompt, double firstEventMs) {
		double tokens = PromptCost.uncachedTokens(prompt);
		if (tokens < MIN_TOKENS) {
			return false;
		}
		this.speeds.computeIfAbsent(service, (key) -> new Speed())
			.observe(tokens, PromptCost.readingMs(prompt, firstEventMs));
		return true;
	}

	/** The speed of the engines of one service. */
	private static final class Speed {

		private PromptCost cost = PromptCost.INITIAL;

		private int observations;

		void observe(double tokens, double readingMs) {
			double step = 1 + Math.max(FIRST_STEP * STEP_HALVING / (STEP_HALVING + this.observations), LAST_STEP);
			boolean faster = readingMs * this.cost.tokensPerMs() < tokens;
			double initial = PromptCost.INITIAL.tokensPerMs();
			double moved = faster ? this.cost.tokensPerMs() * step : this.cost.tokensPerMs() / step;
			this.cost = new PromptCost(Math.min(Math.max(moved, initial * MIN_RATIO), initial * MAX_RATIO));
			this.observations = Math.min(this.observations + 1, Integer.MAX_VALUE - 1);
		}

	}

}
