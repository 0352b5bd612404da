package org.tallycart.node.metrics;

import java.util.Locale;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import org.tallycart.node.statement.StatementKind;
import org.tallycart.platform.store.EntryProblem;
import org.tallycart.platform.store.StoreCall;

/**
 * What the serving process counts. Times are in milliseconds.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class NodeMetrics {

	private final MetricRegistry registry = new MetricRegistry();

	private final Histogram totalMs = this.registry.histogram("requests.total_ms");

	private final Histogram stageMs = this.registry.histogram("requests.stage_work_ms");

	private final Histogram firstMs = this.registry.histogram("streams.first_event_ms");

	private final Histogram piecesPerCall = this.registry.histogram("pool_calls.pieces");

	private final Histogram callMs = this.registry.histogram("pool_calls.took_ms");

	/**
	 * Count a request that has ended.
	 * @param outcome how, such as {@code status_200}, {@code stream_complete} or
	 * {@code caller_gone}
	 * @param ms how long it took
	 */
	public void onRequestEnded(String outcome, long ms) {
		this.registry.counter("requests.ended." + outcome).inc();
		this.totalMs.update(ms);
	}

	/**
	 * Record how long a request waited for its stage work.
	 * @param ms the time
	 */
	public void onStageWorkDone(long ms) {
		this.stageMs.update(ms);
	}

	/**
	 * Record when a stream's first event was there.
	 * @param ms the time from the request's arrival
	 */
	public void onFirstEvent(long ms) {
		this.firstMs.update(ms);
	}

	/**
	 * Count a send to an upstream that did not lead to an answer.
	 * @param kind how it ended
	 */
	public void onSendFailed(String kind) {
		this.registry.counter("sends.failed." + kind).inc();
	}

	/** Count a repeat that the budget did not allow. */
	public void onRetryDenied() {
		this.registry.counter("sends.repeats_denied").inc();
	}

	/**
	 * Count a call of the platform's store.
	 * @param kind its kind
	 */
	public void onStoreCall(StoreCall kind) {
		this.registry.counter("store.calls." + kind.name().toLowerCase(Locale.ROOT)).inc();
	}

	/**
	 * Count an entry of the list of upstreams that names none to use.
	 * @param problem why
	 */
	public void onUnreadableEntry(EntryProblem problem) {
		this.registry.counter("upstreams.unreadable." + problem.name().toLowerCase(Locale.ROOT)).inc();
	}

	/**
	 * Count an upstream at which requests were cut off.
	 * @param ended whether it has ended
	 */
	public void onUpstreamCut(boolean ended) {
		this.registry.counter(ended ? "upstreams.crashed" : "upstreams.cut").inc();
	}

	/** Count a request that was kept away from upstreams, since it crashes them. */
	public void onQuarantined() {
		this.registry.counter("requests.quarantined").inc();
	}

	/** Count a request that is sent to an upstream that has named a limit. */
	public void onSendToLimited() {
		this.registry.counter("sends.to_limited").inc();
	}

	/**
	 * Count an answer to the question whether a request may be sent to an upstream that
	 * has named a limit.
	 * @param granted whether it may
	 */
	public void onPermit(boolean granted) {
		this.registry.counter(granted ? "limits.granted" : "limits.denied").inc();
	}

	/**
	 * Count a reply that says something of its upstream that cannot be read.
	 * @param kind what it speaks of
	 */
	public void onUnreadableStatement(StatementKind kind) {
		this.registry.counter("upstreams.unreadable_" + kind.name().toLowerCase(Locale.ROOT)).inc();
	}

	/**
	 * Count a request that is sent to an upstream that has said that it leaves, or rests.
	 */
	public void onSendToAbsent() {
		this.registry.counter("sends.to_absent").inc();
	}

	/**
	 * Record a call of a stage pool.
	 * @param pieces how many pieces it held
	 * @param ms how long it took
	 */
	public void onPoolCall(int pieces, long ms) {
		this.piecesPerCall.update(pieces);
		this.callMs.update(ms);
	}

	/**
	 * Count a connection that was refused before its request could be handled.
	 * @param status the status it was refused with
	 */
	public void onConnectionRefused(int status) {
		this.registry.counter("connections.refused.status_" + status).inc();
	}

	/**
	 * Show a value that something else keeps.
	 * @param name its name
	 * @param value reads it
	 */
	public void gauge(String name, LongSupplier value) {
		this.registry.register(name, (Gauge<Long>) value::getAsLong);
	}

	MetricRegistry registry() {
		return this.registry;
	}

}
