package org.tallycart.node.piece;

import org.tallycart.core.pool.CallLimiter;
import org.tallycart.http.event.HttpClient;
import org.tallycart.node.EventLoop;
import org.tallycart.node.crash.UpstreamCrashDetector;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.node.statement.UpstreamStatements;

/**
 * What all pools of a process share.
 *
 * @param http makes calls of workers
 * @param loop the event loop
 * @param log where decisions are written
 * @param returns takes results that nobody needs
 * @param crashes finds out which workers end under pieces
 * @param statements knows what workers have said of themselves
 * @param callLimit tells when a worker takes another call
 * @param metrics what is counted
 * @since 0.1
 */
public record PoolContext(HttpClient http, EventLoop loop, NodeLog log, ResultReleaser returns,
		UpstreamCrashDetector crashes, UpstreamStatements statements, CallLimiter callLimit, NodeMetrics metrics) {
}
