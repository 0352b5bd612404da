package org.tallycart.core.serving;

/**
 * A field of a request's head.
 *
 * @param name its name, as the caller wrote it
 * @param value its value
 * @since 0.1
 */
public record HeaderField(String name, String value) {
}
