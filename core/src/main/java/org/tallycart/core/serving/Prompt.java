package org.tallycart.core.serving;

import java.util.List;

/**
 * The prompt of a generation request.
 *
 * @param model name of the model
 * @param promptTokens total number of prompt tokens, including shared parts
 * @param parts the parts in order, most widely shared first; the last part belongs to the
 * session or to the request itself
 * @since 0.1
 */
public record Prompt(String model, int promptTokens, List<PromptPart> parts) {

	/** Minimum number of parts from which on the last part belongs to the request. */
	private static final int MIN_PARTS_WITH_UNSHARED = 3;

	/**
	 * Return the session id: the id of the last part that is shared between requests. In
	 * a prompt of three or more parts, the last part belongs to the request and is not
	 * shared.
	 * @return the id of the part, or an empty string if nothing is shared
	 */
	public String session() {
		return this.parts.isEmpty() ? "" : this.parts.get(sharedPartCount() - 1).id();
	}

	/**
	 * Return the parts before the last one, which belongs to the session or to the
	 * request itself.
	 * @return the parts in order; empty if there are fewer than two
	 */
	public List<PromptPart> leadingParts() {
		return this.parts.subList(0, Math.max(this.parts.size() - 1, 0));
	}

	/**
	 * Return the id of the first part, which most requests share.
	 * @return the id, or an empty string if the prompt has no parts
	 */
	public String firstPart() {
		return this.parts.isEmpty() ? "" : this.parts.get(0).id();
	}

	/**
	 * Return the length of the first part.
	 * @return the number of tokens; 0 if the prompt has no parts
	 */
	public int firstPartTokens() {
		return this.parts.isEmpty() ? 0 : this.parts.get(0).tokens();
	}

	private int sharedPartCount() {
		return (this.parts.size() >= MIN_PARTS_WITH_UNSHARED) ? this.parts.size() - 1 : this.parts.size();
	}

	/**
	 * Return the number of tokens shared with other requests of the session.
	 * @return the number of tokens
	 */
	public int sharedTokens() {
		int tokens = 0;
		for (int i = 0; i < sharedPartCount(); i++) {
			tokens += this.parts.get(i).tokens();
		}
		return tokens;
	}

}
