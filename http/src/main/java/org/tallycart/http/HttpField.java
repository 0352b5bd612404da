package org.tallycart.http;

/**
 * A header field.
 *
 * @param name its name
 * @param value its value
 * @since 0.1
 */
public record HttpField(String name, String value) {
}
