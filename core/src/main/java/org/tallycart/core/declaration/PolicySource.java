package org.tallycart.core.declaration;

/**
 * Source text of a policy's rules; an empty rule stands for the built-in one.
 *
 * @param id the name
 * @param admit whether a request may enter
 * @param priority its priority; a higher one goes first
 * @param place score of an upstream; a lower one is preferred
 * @param shed whether to shed a request under load
 * @param shadow whether the policy only reports what it would decide
 * @since 0.1
 */
public record PolicySource(String id, String admit, String priority, String place, String shed, boolean shadow) {
}
