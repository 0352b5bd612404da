package org.tallycart.entry.stage;

import java.util.concurrent.ExecutorService;

import org.tallycart.core.routing.RetryBudget;
import org.tallycart.http.HttpConnectionPool;
import org.tallycart.runtime.event.EventLog;

/**
 * What stage calls share.
 * <p>
 * Immutable; each part is thread-safe.
 *
 * @param routing chooses upstreams
 * @param times how long calls take
 * @param pool idle connections
 * @param budget limits extra attempts
 * @param events the process's events
 * @param executor runs attempts
 * @since 0.1
 */
public record StageContext(UpstreamRouter routing, StageLatencyEstimator times, HttpConnectionPool pool,
		RetryBudget budget, EventLog events, ExecutorService executor) {
}
