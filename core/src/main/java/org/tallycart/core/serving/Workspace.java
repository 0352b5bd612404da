package org.tallycart.core.serving;

import java.util.Optional;

/**
 * A workspace whose callers share keys.
 *
 * @param name its name
 * @param priority its level, which goes before a route's; empty if it has none
 * @since 0.1
 */
public record Workspace(String name, Optional<Integer> priority) {
}
