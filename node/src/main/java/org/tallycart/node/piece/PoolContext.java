package org.tallycart.node.piece;

import org.tallycart.core.pool.CallLimiter;
import org.tallycart.http.event.HttpCaller;
import org.tallycart.node.EventLoop;
import org.tallycart.node.crash.UpstreamCrashDetector;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.node.statement.UpstreamStatements;

/**
 * Dependencies shared by all pools of a process.
 *
 * @param http makes calls to workers
 * @param loop the event loop
 * @param log the event log
 * @param releaser releases results that are no longer needed
 * @param crashDetector detects workers that crash while they run pieces
 * @param statements the statements of workers about themselves
 * @param callLimiter limits calls to workers
 * @param metrics the metrics of the process
 * @since 0.1
 */
public record PoolContext(HttpCaller http, EventLoop loop, NodeLog log, ResultReleaser releaser,
		UpstreamCrashDetector crashDetector, UpstreamStatements statements, CallLimiter callLimiter,
		NodeMetrics metrics) {
}
