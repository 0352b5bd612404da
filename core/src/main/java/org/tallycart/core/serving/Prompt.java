package org.tallycart.core.serving;

import java.util.List;

/**
 * What a generation reads.
 *
 * @param model the model
 * @param promptTokens tokens to read, shared parts included
 * @param parts its parts in order, those that most requests share first; the last belongs
 * to the request itself or to its session
 * @since 0.1
 */
public record Prompt(String model, int promptTokens, List<PromptPart> parts) {

	/** Parts of a prompt whose last one belongs to the request itself. */
	private static final int PARTS_WITH_OWN = 3;

	/**
	 * Return what names the prompt's session: what its requests have in common beyond
	 * what all sessions share. Where there are three parts or more, the last is the
	 * request's own.
	 * @return the part's id, or an empty text where nothing is shared
	 */
	public String session() {
		return this.parts.isEmpty() ? "" : this.parts.get(sharedParts() - 1).id();
	}

	/**
	 * Return what most requests share.
	 * @return the first part's id, or an empty text where there are no parts
	 */
	public String firstPart() {
		return this.parts.isEmpty() ? "" : this.parts.get(0).id();
	}

	/**
	 * Return the length of what most requests share.
	 * @return tokens of the first part
	 */
	public int firstPartTokens() {
		return this.parts.isEmpty() ? 0 : this.parts.get(0).tokens();
	}

	private int sharedParts() {
		return (this.parts.size() >= PARTS_WITH_OWN) ? this.parts.size() - 1 : this.parts.size();
	}

	/**
	 * Return how many tokens other requests of the session share.
	 * @return the sum
	 */
	public int sharedTokens() {
		return this.parts.stream().limit(sharedParts()).mapToInt(PromptPart::tokens).sum();
	}

}
