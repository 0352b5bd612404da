package org.tallycart.http;

/**
 * Header field.
 *
 * @param name the field name
 * @param value the field value
 * @since 0.1
 */
public record HttpField(String name, String value) {
}
