/**
 * Configuration of request serving (routes, services, workspaces, upstreams) and the
 * decoded requests and replies. All types are immutable except builders.
 */
@NullMarked
package org.tallycart.core.serving;

import org.jspecify.annotations.NullMarked;
