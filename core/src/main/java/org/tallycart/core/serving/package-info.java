/**
 * What serving is configured by: routes, services, workspaces, upstreams, and a caller's
 * request in the project's own terms. All types are immutable.
 */
@NullMarked
package org.tallycart.core.serving;

import org.jspecify.annotations.NullMarked;
