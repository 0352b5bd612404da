package org.tallycart.core.serving;

import java.util.List;

/**
 * What a generation reads.
 *
 * @param model the model
 * @param promptTokens tokens to read, shared parts included
 * @param parts the shared parts in order; the last belongs to the session
 * @since 0.1
 */
public record Prompt(String model, int promptTokens, List<PromptPart> parts) {

	/**
	 * Return what names the prompt's session: the last shared part.
	 * @return the part's id, or an empty text where nothing is shared
	 */
	public String session() {
		return this.parts.isEmpty() ? "" : this.parts.get(this.parts.size() - 1).id();
	}

	/**
	 * Return how many tokens are in shared parts.
	 * @return the sum
	 */
	public int sharedTokens() {
		return this.parts.stream().mapToInt(PromptPart::tokens).sum();
	}

}
