package org.tallycart.node.request;

import org.tallycart.core.crash.Quarantine;
import org.tallycart.core.routing.RandomSource;
import org.tallycart.core.upstream.ColdStartLimiter;
import org.tallycart.core.upstream.ReadingSpeeds;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.http.event.HttpCaller;
import org.tallycart.node.EventLoop;
import org.tallycart.node.crash.UpstreamCrashDetector;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.node.piece.PieceService;
import org.tallycart.node.statement.PermitService;
import org.tallycart.node.statement.UpstreamStatements;
import org.tallycart.node.stream.KnownStreamOrigins;

/**
 * Dependencies shared by all requests of a process.
 *
 * @param failureDomain the failure domain of this VM
 * @param loop the event loop
 * @param log the event log
 * @param http makes calls to upstreams
 * @param directory the upstreams
 * @param readingSpeeds the speeds at which engines read prompts
 * @param random draws one of several upstreams that are as good as each other
 * @param coldStartLimiter limits requests to upstreams in cold start
 * @param statements the statements of upstreams about themselves
 * @param permits grants permits for upstreams with a stated limit
 * @param pieces runs pieces of stages
 * @param streamOrigins knows where streams began
 * @param inFlight the requests that have not ended
 * @param retryBudgets limits retries
 * @param hedges limits hedges and learns when they are made
 * @param crashDetector detects upstreams that crash while they run requests
 * @param quarantine the requests that are not sent to any upstream
 * @param metrics the metrics of the process
 * @since 0.1
 */
public record ServingContext(String failureDomain, EventLoop loop, NodeLog log, HttpCaller http,
		UpstreamDirectory directory, ReadingSpeeds readingSpeeds, RandomSource random,
		ColdStartLimiter coldStartLimiter, UpstreamStatements statements, PermitService permits, PieceService pieces,
		KnownStreamOrigins streamOrigins, InFlightRequests inFlight, RetryBudgets retryBudgets, HedgeControl hedges,
		UpstreamCrashDetector crashDetector, Quarantine quarantine, NodeMetrics metrics) {

}
