package org.tallycart.core.serving;

/**
 * A part of a prompt that may be shared with other requests.
 *
 * @param id identifies the text of the part
 * @param tokens length of the part, in tokens
 * @since 0.1
 */
public record PromptPart(String id, int tokens) {
}
