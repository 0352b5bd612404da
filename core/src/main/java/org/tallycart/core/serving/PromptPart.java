package org.tallycart.core.serving;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id names its text
 * @param tokens its length
 * @since 0.1
 */
public record PromptPart(String id, int tokens) {
}
