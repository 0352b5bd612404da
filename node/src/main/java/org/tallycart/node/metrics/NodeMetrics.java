package org.tallycart.node.metrics;

import java.util.Locale;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SettableGauge;
import org.tallycart.core.attempt.HedgeDenial;
import org.tallycart.core.pool.WorkspaceOverload;
import org.tallycart.http.event.CallFailure;
import org.tallycart.http.event.ConnectionEnd;
import org.tallycart.http.event.ReplyEnd;
import org.tallycart.node.statement.StatementKind;
import org.tallycart.platform.store.EntryProblem;
import org.tallycart.platform.store.StoreCall;

/**
 * Counters, histograms and gauges of the serving process. Times are in milliseconds.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class NodeMetrics {

	private static final double PERCENT = 100;

	private final MetricRegistry registry = new MetricRegistry();

	private final Histogram totalMs = this.registry.histogram("requests.total_ms");

	private final Histogram stageWorkMs = this.registry.histogram("requests.stage_work_ms");

	private final Histogram firstEventMs = this.registry.histogram("streams.first_event_ms");

	private final Histogram piecesPerCall = this.registry.histogram("pool_calls.pieces");

	private final Histogram poolCallMs = this.registry.histogram("pool_calls.took_ms");

	/**
	 * Count a request that has ended.
	 * @param outcome the outcome, such as {@code status_200}, {@code stream_complete} or
	 * {@code caller_gone}
	 * @param ms the time from its arrival
	 */
	public void onRequestEnded(String outcome, long ms) {
		this.registry.counter("requests.ended." + outcome).inc();
		this.totalMs.update(ms);
	}

	/**
	 * Record the time that a request waited for its stage work.
	 * @param ms the time
	 */
	public void onStageWorkDone(long ms) {
		this.stageWorkMs.update(ms);
	}

	/**
	 * Record the time to the first event of a stream.
	 * @param ms the time from the request's arrival
	 */
	public void onFirstEvent(long ms) {
		this.firstEventMs.update(ms);
	}

	/**
	 * Count a broken stream that goes on at another upstream, within one response.
	 * @param sameVersion whether both upstreams run the same version of their software
	 */
	public void onStreamContinued(boolean sameVersion) {
		this.registry.counter(sameVersion ? "streams.continued" : "streams.continued_at_other_version").inc();
	}

	/**
	 * Count a stream that its caller resumes.
	 * @param source how its origin was found, such as {@code other_vm} or {@code none}
	 */
	public void onStreamResumed(String source) {
		this.registry.counter("streams.resumed." + source).inc();
	}

	/**
	 * Count streams whose origins are told to another VM.
	 * @param count the number of streams
	 */
	public void onStreamOriginsSent(int count) {
		this.registry.counter("stream_origins.sent").inc(count);
	}

	/**
	 * Count a send to an upstream that failed without a reply.
	 * @param kind the kind of failure
	 */
	public void onSendFailed(String kind) {
		this.registry.counter("sends.failed." + kind).inc();
	}

	/**
	 * Count a call whose reply exceeded a limit.
	 * @param failure the failure of the call
	 */
	public void onLimitExceeded(CallFailure failure) {
		String limit = failure.exceeded().map((exceeded) -> exceeded.limit().name()).orElse("RELAYED");
		this.registry.counter("replies.over_limit." + limit.toLowerCase(Locale.ROOT)).inc();
	}

	/**
	 * Count a reply of an upstream.
	 * @param end how its end was detected
	 */
	public void onReplyEnded(ReplyEnd end) {
		this.registry.counter("replies.ended." + end.name().toLowerCase(Locale.ROOT)).inc();
	}

	/**
	 * Count a connection to an upstream.
	 * @param outcome how the attempt to open it ended, such as {@code opened}
	 */
	public void onUpstreamConnection(String outcome) {
		this.registry.counter("upstream_connections." + outcome).inc();
	}

	/**
	 * Count a call to an upstream that one VM makes for another.
	 * @param role {@code requested} at the VM that it is made for, {@code made} at the
	 * one that makes it
	 */
	public void onRelayedCall(String role) {
		this.registry.counter("relayed_calls." + role).inc();
	}

	/** Count an attempt at a silent upstream that was given up for an answered one. */
	public void onAttemptReplaced() {
		this.registry.counter("sends.replaced").inc();
	}

	/**
	 * Count a hedge beside a slow attempt.
	 * @param event what became of it: {@code started}, {@code won} or {@code lost}
	 * @param route the route of the request
	 */
	public void onHedge(String event, String route) {
		this.registry.counter("hedges." + event + "." + route).inc();
	}

	/**
	 * Count a request whose slow attempt was not hedged.
	 * @param denial the limit that denied the hedge
	 * @param route the route of the request
	 */
	public void onHedgeDenied(HedgeDenial denial, String route) {
		this.registry.counter("hedges.denied." + denial.name().toLowerCase(Locale.ROOT) + "." + route).inc();
	}

	/** Count a request that was rejected on arrival, since pools have late work. */
	public void onRejectedForLateWork() {
		this.registry.counter("requests.rejected_for_late_work").inc();
	}

	/** Count a request that a graceful stop ended. */
	public void onRequestStopped() {
		this.registry.counter("requests.stopped").inc();
	}

	/** Count a retry that the retry budget allowed. */
	public void onRetryGranted() {
		this.registry.counter("sends.repeats_granted").inc();
	}

	/** Count a retry that the retry budget denied. */
	public void onRetryDenied() {
		this.registry.counter("sends.repeats_denied").inc();
	}

	/**
	 * Count a call of the platform's store.
	 * @param kind the kind of call
	 */
	public void onStoreCall(StoreCall kind) {
		this.registry.counter("store.calls." + kind.name().toLowerCase(Locale.ROOT)).inc();
	}

	/**
	 * Count an invalid entry in the list of upstreams.
	 * @param problem what is wrong with it
	 */
	public void onInvalidEntry(EntryProblem problem) {
		this.registry.counter("upstreams.unreadable." + problem.name().toLowerCase(Locale.ROOT)).inc();
	}

	/**
	 * Count an upstream whose requests were interrupted.
	 * @param crashed whether it has crashed
	 */
	public void onUpstreamInterrupted(boolean crashed) {
		this.registry.counter(crashed ? "upstreams.crashed" : "upstreams.cut").inc();
	}

	/** Count a request that was rejected, since it is quarantined. */
	public void onQuarantined() {
		this.registry.counter("requests.quarantined").inc();
	}

	/** Count a request that is sent to an upstream with a stated limit. */
	public void onSendToLimited() {
		this.registry.counter("sends.to_limited").inc();
	}

	/**
	 * Count the result of a permit request for an upstream with a stated limit.
	 * @param granted whether the permit was granted
	 */
	public void onPermit(boolean granted) {
		this.registry.counter(granted ? "limits.granted" : "limits.denied").inc();
	}

	/**
	 * Count a reply with a malformed statement of its upstream.
	 * @param kind the kind of statement
	 */
	public void onMalformedStatement(StatementKind kind) {
		this.registry.counter("upstreams.unreadable_" + kind.name().toLowerCase(Locale.ROOT)).inc();
	}

	/**
	 * Count a request that is sent to an upstream that is believed to be slower than
	 * usual.
	 */
	public void onSendToSlow() {
		this.registry.counter("sends.to_slow").inc();
	}

	/**
	 * Count a time to the first event from which the reading speed of engines was learnt.
	 */
	public void onReadingSpeedObserved() {
		this.registry.counter("engines.reading_speed_observed").inc();
	}

	/**
	 * Count a request that is sent to an upstream that is draining or has asked for a
	 * backoff.
	 */
	public void onSendToUnavailable() {
		this.registry.counter("sends.to_absent").inc();
	}

	/**
	 * Record a call of a stage pool.
	 * @param pieces the number of pieces in the call
	 * @param ms the time that it took
	 */
	public void onPoolCall(int pieces, long ms) {
		this.piecesPerCall.update(pieces);
		this.poolCallMs.update(ms);
	}

	/**
	 * Count what overload of a stage pool did to requests of a workspace, and set the
	 * share that the workspace has of the pool.
	 * @param pool the name of the pool
	 * @param workspace the name of the workspace; empty for requests without one
	 * @param overload the requests since the last call, and the share
	 */
	public void onPoolOverload(String pool, String workspace, WorkspaceOverload overload) {
		String name = workspace.isEmpty() ? "none" : workspace;
		this.registry.counter("pool_requests.deferred." + name).inc(overload.deferred());
		this.registry.counter("pool_requests.shed." + name).inc(overload.shed());
		this.registry.counter("pool_requests.expired." + name).inc(overload.expired());
		this.registry.counter("pool_requests.returned." + name).inc(overload.returned());
		SettableGauge<Long> share = this.registry.gauge("pool_share_percent." + pool + "." + name);
		share.setValue(Math.round(overload.share() * PERCENT));
	}

	/**
	 * Count a connection that was refused before its request could be handled.
	 * @param status the HTTP status that was sent
	 */
	public void onConnectionRefused(int status) {
		this.registry.counter("connections.refused.status_" + status).inc();
	}

	/**
	 * Count a connection of a caller that has closed.
	 * @param end why it has closed
	 */
	public void onConnectionClosed(ConnectionEnd end) {
		this.registry.counter("connections.closed." + end.name().toLowerCase(Locale.ROOT)).inc();
	}

	/** Count a connection that was closed before its request was read. */
	public void onConnectionNotAdmitted() {
		this.registry.counter("connections.not_admitted").inc();
	}

	/**
	 * Register a gauge.
	 * @param name the name of the gauge
	 * @param value supplies its current value
	 */
	public void registerGauge(String name, LongSupplier value) {
		this.registry.register(name, (Gauge<Long>) value::getAsLong);
	}

	MetricRegistry registry() {
		return this.registry;
	}

}
