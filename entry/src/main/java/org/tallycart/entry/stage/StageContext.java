package org.tallycart.entry.stage;

import java.util.concurrent.ExecutorService;

import org.tallycart.core.routing.RetryBudget;
import org.tallycart.http.HttpConnectionPool;
import org.tallycart.runtime.event.EventLog;

/**
 * Dependencies shared by all stage calls.
 * <p>
 * Immutable; all components are thread-safe.
 *
 * @param router chooses upstreams
 * @param latencies estimates the latency of calls
 * @param pool pools connections to upstreams
 * @param retryBudget limits retries and hedged attempts
 * @param events the event log of the process
 * @param executor runs attempts
 * @since 0.1
 */
public record StageContext(UpstreamRouter router, StageLatencyEstimator latencies, HttpConnectionPool pool,
		RetryBudget retryBudget, EventLog events, ExecutorService executor) {
}
