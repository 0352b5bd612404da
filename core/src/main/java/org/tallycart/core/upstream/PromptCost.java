package org.tallycart.core.upstream;

import org.tallycart.core.serving.Prompt;

/**
 * How long an engine takes to read a prompt, by the figures that the sites' sheets give
 * for their engines. It serves to compare and to plan, not to promise.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class PromptCost {

	/** Prompt tokens that an engine reads in a millisecond. */
	private static final double TOKENS_PER_MS = 32.4;

	/** What a million pairs of a new and an earlier token add, in milliseconds. */
	private static final double MS_PER_MILLION_PAIRS = 1.18;

	/** What the first token takes beside reading, in milliseconds. */
	private static final double FIRST_TOKEN_MS = 70;

	private static final double MILLION = 1_000_000;

	private PromptCost() {
	}

	/**
	 * Return how long reading takes where the shared parts are there already.
	 * @param prompt the prompt
	 * @return milliseconds
	 */
	public static double prefillMs(Prompt prompt) {
		double fresh = Math.max(prompt.promptTokens() - prompt.sharedTokens(), 0);
		double pairs = fresh * (prompt.sharedTokens() + fresh / 2);
		return fresh / TOKENS_PER_MS + pairs / MILLION * MS_PER_MILLION_PAIRS;
	}

	/**
	 * Return when the first token is there, from the arrival at an idle engine.
	 * @param prompt the prompt
	 * @return milliseconds
	 */
	public static double firstTokenMs(Prompt prompt) {
		return prefillMs(prompt) + FIRST_TOKEN_MS;
	}

	/**
	 * Return how long reading the shared parts takes.
	 * @param prompt the prompt
	 * @return milliseconds
	 */
	public static double sharedMs(Prompt prompt) {
		return prompt.sharedTokens() / TOKENS_PER_MS;
	}

}
