package org.tallycart.core.pool;

import java.util.List;

import org.tallycart.core.serving.UpstreamEntry;

/**
 * Call to a worker that the dispatcher has scheduled.
 *
 * @param number identifies the call within its dispatcher
 * @param worker the worker to call
 * @param jobs the pieces of the call, in the order of their outcomes
 * @param startedMs time at which the call was scheduled, on the monotonic clock
 * @param expectedMs expected duration at this worker, in milliseconds
 * @since 0.1
 */
public record PoolCall(long number, UpstreamEntry worker, List<PieceJob> jobs, long startedMs, double expectedMs) {
}
