package org.tallycart.core.pool;

import java.util.List;

import org.tallycart.core.serving.UpstreamEntry;

/**
 * A call that the dispatcher wants made.
 *
 * @param number names the call
 * @param worker where to
 * @param jobs the pieces it holds, in order
 * @param startedMs when it began, on the steady clock
 * @param expectedMs how long it should take at the worker's pace, in milliseconds
 * @since 0.1
 */
public record PoolCall(long number, UpstreamEntry worker, List<PieceJob> jobs, long startedMs, double expectedMs) {
}
