package org.tallycart.node.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import org.tallycart.core.crash.ContentFingerprints;
import org.tallycart.core.crash.CrashReport;
import org.tallycart.core.crash.Fingerprint;
import org.tallycart.core.crash.Suspect;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.http.event.HttpClient;
import org.tallycart.http.event.ProbeResult;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.runtime.event.EventCode;

/**
 * Detects whether an upstream whose requests were interrupted has crashed, or has only
 * lost its connections: a crashed upstream refuses a new connection. Connections are also
 * interrupted by networks, and by upstreams that abort single replies.
 * <p>
 * Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class UpstreamCrashDetector {

	/**
	 * Time for which interrupted requests of an upstream are collected before it is
	 * probed, in milliseconds; its connections close within a few milliseconds of each
	 * other.
	 */
	private static final long COLLECTION_MS = 30;

	/**
	 * Connect timeout of a probe, in milliseconds. An upstream that does not answer
	 * within it has not refused.
	 */
	private static final int CONNECT_TIMEOUT_MS = 300;

	/**
	 * Time after a refused probe until the upstream counts as crashed, in milliseconds. A
	 * VM whose own links fail finds out within it.
	 */
	private static final long CONFIRMATION_MS = 100;

	private final HttpClient http;

	private final BooleanSupplier linksLost;

	private final EventLoop loop;

	private final NodeLog log;

	private final NodeMetrics metrics;

	private final Listener listener;

	private final Map<String, PendingProbe> pendingProbes = new HashMap<>();

	/**
	 * Create a detector.
	 * @param http the client that connects to upstreams
	 * @param linksLost returns whether this VM can connect to no upstream
	 * @param loop the event loop
	 * @param log the log for results
	 * @param metrics the metrics of this process
	 * @param listener receives a report of each upstream that has crashed
	 */
	public UpstreamCrashDetector(HttpClient http, BooleanSupplier linksLost, EventLoop loop, NodeLog log,
			NodeMetrics metrics, Listener listener) {
		this.http = http;
		this.linksLost = linksLost;
		this.loop = loop;
		this.log = log;
		this.metrics = metrics;
		this.listener = listener;
	}

	/**
	 * Record that a request was interrupted.
	 * @param upstream the upstream
	 * @param request the request
	 */
	public void onInterrupted(UpstreamEntry upstream, InterruptedRequest request) {
		PendingProbe pending = this.pendingProbes.get(upstream.incarnation());
		if (pending != null) {
			pending.requests.add(request);
			return;
		}
		this.pendingProbes.put(upstream.incarnation(),
				new PendingProbe(this.loop.nowMs(), new ArrayList<>(List.of(request))));
		this.loop.schedule(COLLECTION_MS, () -> this.http.probe(upstream.address(), CONNECT_TIMEOUT_MS,
				(presence) -> onProbed(upstream, presence)));
	}

	/**
	 * Record that a request was served completely, so that it is no longer a suspect.
	 * Must be called for each.
	 * @param content the request
	 */
	public void onServed(ContentFingerprints content) {
		this.listener.onServed(content);
	}

	/**
	 * Record that an upstream has streamed the response to a request for long enough that
	 * no part of its prompt crashes upstreams.
	 * @param content the request
	 */
	public void onPartsRead(ContentFingerprints content) {
		this.listener.onPartsRead(content);
	}

	private void onProbed(UpstreamEntry upstream, ProbeResult presence) {
		if (presence == ProbeResult.REFUSES) {
			this.loop.schedule(CONFIRMATION_MS,
					() -> conclude(upstream, this.linksLost.getAsBoolean() ? ProbeResult.SILENT : presence));
		}
		else {
			conclude(upstream, presence);
		}
	}

	private void conclude(UpstreamEntry upstream, ProbeResult presence) {
		PendingProbe probe = this.pendingProbes.remove(upstream.incarnation());
		if (probe == null) {
			return;
		}
		this.metrics.onUpstreamInterrupted(presence == ProbeResult.REFUSES);
		this.log.event(EventCode.REQUESTS_CUT, "upstream", upstream.id(), "service", upstream.service(), "upstream_is",
				presence, "requests", probe.requests);
		List<Suspect> suspects = probe.requests.stream()
			.filter(InterruptedRequest::mayHaveCrashedUpstream)
			.map(InterruptedRequest::asSuspect)
			.toList();
		CrashReport report = CrashReport.of(upstream.incarnation(), probe.sinceMs, suspects)
			.withReadParts(readParts(probe));
		if (presence == ProbeResult.REFUSES && !report.isEmpty()) {
			this.listener.onCrash(report);
		}
	}

	private static Set<Fingerprint> readParts(PendingProbe probe) {
		return probe.requests.stream()
			.filter((request) -> !request.mayHaveCrashedUpstream())
			.flatMap((request) -> request.request().parts().stream())
			.collect(Collectors.toSet());
	}

	/** Receives what is found. */
	public interface Listener {

		/**
		 * Handle a crash of an upstream.
		 * @param report the report
		 */
		void onCrash(CrashReport report);

		/**
		 * Handle a request that was served completely.
		 * @param content the request
		 */
		void onServed(ContentFingerprints content);

		/**
		 * Handle a request whose upstream has read its prompt and gone on.
		 * @param content the request
		 */
		void onPartsRead(ContentFingerprints content);

	}

	/**
	 * A probe of one upstream that is due, or has not completed.
	 *
	 * @param sinceMs when the first request was interrupted, on the monotonic clock
	 * @param requests the interrupted requests
	 */
	private record PendingProbe(long sinceMs, List<InterruptedRequest> requests) {
	}

}
