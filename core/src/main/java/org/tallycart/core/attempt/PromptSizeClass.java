package org.tallycart.core.attempt;

/**
 * Classes of prompts within which the time to the first event is similar.
 */
enum PromptSizeClass {

	NONE(0), SMALL(1_000), MEDIUM(4_000), LARGE(16_000), HUGE(Integer.MAX_VALUE);

	private static final PromptSizeClass[] ALL = values();

	private final int maxTokens;

	PromptSizeClass(int maxTokens) {
		this.maxTokens = maxTokens;
	}

	static PromptSizeClass of(int tokens) {
		int index = 0;
		while (tokens > ALL[index].maxTokens) {
			index++;
		}
		return ALL[index];
	}

}
