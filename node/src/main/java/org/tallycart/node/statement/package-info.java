/**
 * Takes what upstreams say of themselves in their replies: the limits that they name,
 * that they leave, and that they need rest.
 */
@NullMarked
package org.tallycart.node.statement;

import org.jspecify.annotations.NullMarked;
