/**
 * Statements that upstreams make about themselves in their replies: a rate limit, that
 * they are draining, or a backoff.
 */
@NullMarked
package org.tallycart.node.statement;

import org.jspecify.annotations.NullMarked;
