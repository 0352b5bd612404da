package org.tallycart.core.upstream;

import org.tallycart.core.serving.Prompt;

/**
 * Estimates the time that an engine takes to prefill a prompt, from the engines' nominal
 * throughput. Estimates serve for comparison and planning; actual times may differ.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class PromptCost {

	/** Prompt tokens that an engine prefills in a millisecond. */
	private static final double PREFILL_TOKENS_PER_MS = 32.4;

	/**
	 * Attention cost of a million pairs of a new and an earlier token, in milliseconds.
	 */
	private static final double ATTENTION_MS_PER_MILLION_PAIRS = 1.18;

	/** Time to the first token in addition to the prefill, in milliseconds. */
	private static final double FIRST_TOKEN_OVERHEAD_MS = 70;

	private static final double MILLION = 1_000_000;

	private PromptCost() {
	}

	/**
	 * Return the prefill time on an engine that already holds the shared parts.
	 * @param prompt the prompt
	 * @return milliseconds
	 */
	public static double prefillMs(Prompt prompt) {
		double uncachedTokens = Math.max(prompt.promptTokens() - prompt.sharedTokens(), 0);
		double tokenPairs = uncachedTokens * (prompt.sharedTokens() + uncachedTokens / 2);
		return uncachedTokens / PREFILL_TOKENS_PER_MS + tokenPairs / MILLION * ATTENTION_MS_PER_MILLION_PAIRS;
	}

	/**
	 * Return the time to the first token on an idle engine, from the request's arrival.
	 * @param prompt the prompt
	 * @return milliseconds
	 */
	public static double firstTokenMs(Prompt prompt) {
		return prefillMs(prompt) + FIRST_TOKEN_OVERHEAD_MS;
	}

	/**
	 * Return the prefill time of the shared parts.
	 * @param prompt the prompt
	 * @return milliseconds
	 */
	public static double sharedPrefillMs(Prompt prompt) {
		return prompt.sharedTokens() / PREFILL_TOKENS_PER_MS;
	}

}
