package org.tallycart.core.upstream;

import org.tallycart.core.serving.Prompt;

/**
 * Estimates the time that an engine takes to prefill a prompt, from the speed at which
 * the engines of a service read. Estimates serve for comparison and planning; actual
 * times may differ.
 * <p>
 * Immutable and thread-safe.
 *
 * @param tokensPerMs prompt tokens that an engine prefills in a millisecond
 * @since 0.1
 */
public record PromptCost(double tokensPerMs) {

	/** The cost at the speed that is assumed while none has been observed. */
	public static final PromptCost INITIAL = new PromptCost(32.4);

	/**
	 * Attention cost of a million pairs of a new and an earlier token, in milliseconds.
	 */
	private static final double ATTENTION_MS_PER_MILLION_PAIRS = 1.18;

	/** Time to the first token in addition to the prefill, in milliseconds. */
	private static final double FIRST_TOKEN_OVERHEAD_MS = 70;

	private static final double MILLION = 1_000_000;

	/**
	 * Return the prefill time on an engine that already holds the shared parts.
	 * @param prompt the prompt
	 * @return milliseconds
	 */
	public double prefillMs(Prompt prompt) {
		return uncachedTokens(prompt) / this.tokensPerMs + attentionMs(prompt);
	}

	static double uncachedTokens(Prompt prompt) {
		return Math.max(prompt.promptTokens() - prompt.sharedTokens(), 0);
	}

	private static double attentionMs(Prompt prompt) {
		double uncachedTokens = uncachedTokens(prompt);
		double tokenPairs = uncachedTokens * (prompt.sharedTokens() + uncachedTokens / 2);
		return tokenPairs / MILLION * ATTENTION_MS_PER_MILLION_PAIRS;
	}

	/**
	 * Return the part of a time to the first token that is spent reading tokens.
	 * @param prompt the prompt
	 * @param firstTokenMs the time to the first token on an idle engine, in milliseconds
	 * @return milliseconds; not positive if the time is shorter than the rest takes
	 */
	static double readingMs(Prompt prompt, double firstTokenMs) {
		return firstTokenMs - FIRST_TOKEN_OVERHEAD_MS - attentionMs(prompt);
	}

	/**
	 * Return the time to the first token on an idle engine, from the request's arrival.
	 * @param prompt the prompt
	 * @return milliseconds
	 */
	public double firstTokenMs(Prompt prompt) {
		return prefillMs(prompt) + FIRST_TOKEN_OVERHEAD_MS;
	}

	/**
	 * Return the prefill time of the shared parts.
	 * @param prompt the prompt
	 * @return milliseconds
	 */
	public double sharedPrefillMs(Prompt prompt) {
		return prompt.sharedTokens() / this.tokensPerMs;
	}

}
