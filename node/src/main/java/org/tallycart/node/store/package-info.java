/**
 * What the process learns from the platform's store: the configuration in force and the
 * upstreams that exist.
 */
@NullMarked
package org.tallycart.node.store;

import org.jspecify.annotations.NullMarked;
