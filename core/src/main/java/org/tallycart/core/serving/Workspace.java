package org.tallycart.core.serving;

import java.util.Optional;

/**
 * A workspace, as identified by an API key.
 *
 * @param name name of the workspace
 * @param priority priority level, which takes precedence over that of a route; empty if
 * not set
 * @since 0.1
 */
public record Workspace(String name, Optional<Integer> priority) {
}
