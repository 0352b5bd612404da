/**
 * Stage pools: planning of the pieces that a request needs, and batching of the pieces of
 * many requests into calls. The package reads no clock and opens no socket. A piece never
 * receives another request's input, and a piece that cannot complete before its deadline
 * is not processed; see {@code StagePlanTests} and {@code PoolDispatcherTests}.
 */
@NullMarked
package org.tallycart.core.pool;

import org.jspecify.annotations.NullMarked;
