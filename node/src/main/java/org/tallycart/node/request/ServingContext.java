package org.tallycart.node.request;

import java.util.List;

import org.tallycart.core.crash.Quarantine;
import org.tallycart.core.upstream.ColdStartLimiter;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.core.upstream.UpstreamState;
import org.tallycart.http.event.HttpClient;
import org.tallycart.node.EventLoop;
import org.tallycart.node.crash.UpstreamCrashDetector;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.node.piece.PieceService;
import org.tallycart.node.statement.PermitService;
import org.tallycart.node.statement.UpstreamStatements;

/**
 * What all requests of a process share.
 *
 * @param failureDomain where the VM runs
 * @param loop the event loop
 * @param log where decisions are written
 * @param http calls upstreams
 * @param directory the upstreams
 * @param cold limits what cold upstreams get
 * @param statements knows what upstreams have said of themselves
 * @param permits gets permits to send to those upstreams
 * @param pieces gets stage work made
 * @param budgets limits repeats
 * @param crashes finds out which upstreams end under requests
 * @param quarantine the requests that no upstream gets
 * @param metrics what is counted
 * @since 0.1
 */
public record ServingContext(String failureDomain, EventLoop loop, NodeLog log, HttpClient http,
		UpstreamDirectory directory, ColdStartLimiter cold, UpstreamStatements statements, PermitService permits,
		PieceService pieces, RetryBudgets budgets, UpstreamCrashDetector crashes, Quarantine quarantine,
		NodeMetrics metrics) {

	/**
	 * Return the upstreams of a service to which this VM may send a request now.
	 * @param service the service
	 * @return the upstreams; empty if there is none
	 */
	List<UpstreamState> candidates(String service) {
		long now = this.loop.nowMs();
		return this.cold.admit(this.directory.candidates(service, now), now);
	}

}
