package org.tallycart.entry.stage;

/**
 * Document returned by a retrieve stage.
 *
 * @param id id of the document
 * @param text text of the document
 * @since 0.1
 */
public record Document(String id, String text) {
}
