/**
 * Stage pools: which pieces of work a request needs, and how pieces of many requests are
 * put into calls. Reads no clock and opens no socket. Promise kept: no piece is given
 * another request's input, and none is made that cannot be used in time; tests are in
 * {@code StagePlanTests} and {@code PoolDispatcherTests}.
 */
@NullMarked
package org.tallycart.core.pool;

import org.jspecify.annotations.NullMarked;
