/**
 * Choice of an upstream, retry budget, deadline split and stage queues.
 */
@NullMarked
package org.tallycart.core.routing;

import org.jspecify.annotations.NullMarked;
