package org.tallycart.core.serving;

/**
 * An HTTP header field.
 *
 * @param name the field name, in its original case
 * @param value the field value
 * @since 0.1
 */
public record HeaderField(String name, String value) {
}
