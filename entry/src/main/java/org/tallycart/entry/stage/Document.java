package org.tallycart.entry.stage;

/**
 * A document that retrieval found.
 *
 * @param id its id
 * @param text its text
 * @since 0.1
 */
public record Document(String id, String text) {
}
