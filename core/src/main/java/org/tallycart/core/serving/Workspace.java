package org.tallycart.core.serving;

import java.util.Optional;

/**
 * A workspace whose callers share keys.
 *
 * @param name its name
 * @param priority its rank, which goes before a route's; empty to leave that to the route
 * @since 0.1
 */
public record Workspace(String name, Optional<Integer> priority) {
}
