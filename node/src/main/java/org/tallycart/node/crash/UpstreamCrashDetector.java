package org.tallycart.node.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.tallycart.core.crash.CrashReport;
import org.tallycart.core.crash.Fingerprint;
import org.tallycart.core.crash.Suspect;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.http.event.HttpClient;
import org.tallycart.http.event.Presence;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.runtime.event.EventCode;

/**
 * Finds out whether an upstream at which requests were cut off has ended, or only its
 * connections: one that has ended refuses a new one. Connections are also cut by networks
 * and by upstreams that break off single answers.
 * <p>
 * Not thread-safe: belongs to the event loop.
 *
 * @since 0.1
 */
public final class UpstreamCrashDetector {

	/**
	 * How long cut requests of an upstream are collected before it is looked for, in
	 * milliseconds: its connections end within some milliseconds of each other.
	 */
	private static final long COLLECT_MS = 30;

	/**
	 * An upstream that does not answer for this long has not refused, in milliseconds.
	 */
	private static final int CONNECT_TIMEOUT_MS = 300;

	private final HttpClient http;

	private final EventLoop loop;

	private final NodeLog log;

	private final NodeMetrics metrics;

	private final CrashReportCoordinator news;

	private final Map<String, Cuts> collected = new HashMap<>();

	/**
	 * Create a watch.
	 * @param http connects to upstreams
	 * @param loop the event loop
	 * @param log where what is found is written
	 * @param metrics what is counted
	 * @param news hears of each upstream that has ended
	 */
	public UpstreamCrashDetector(HttpClient http, EventLoop loop, NodeLog log, NodeMetrics metrics,
			CrashReportCoordinator news) {
		this.http = http;
		this.loop = loop;
		this.log = log;
		this.metrics = metrics;
		this.news = news;
	}

	/**
	 * Take note that a request was cut off.
	 * @param upstream where
	 * @param cut the request
	 */
	public void onInterrupted(UpstreamEntry upstream, InterruptedRequest cut) {
		Cuts known = this.collected.get(upstream.incarnation());
		if (known != null) {
			known.requests.add(cut);
			return;
		}
		this.collected.put(upstream.incarnation(), new Cuts(this.loop.nowMs(), new ArrayList<>(List.of(cut))));
		this.loop.schedule(COLLECT_MS, () -> this.http.probe(upstream.address(), CONNECT_TIMEOUT_MS,
				(presence) -> onFound(upstream, presence)));
	}

	/**
	 * Take note that a request was answered whole, so that it is no suspect any more. To
	 * be called for each.
	 * @param fingerprint the request
	 */
	public void onServed(Fingerprint fingerprint) {
		this.news.onServed(fingerprint);
	}

	private void onFound(UpstreamEntry upstream, Presence presence) {
		Cuts cuts = this.collected.remove(upstream.incarnation());
		if (cuts == null) {
			return;
		}
		this.metrics.onUpstreamCut(presence == Presence.REFUSES);
		this.log.event(EventCode.REQUESTS_CUT, "upstream", upstream.id(), "service", upstream.service(), "upstream_is",
				presence, "requests", cuts.requests);
		List<Suspect> suspects = cuts.requests.stream()
			.filter(InterruptedRequest::mayHaveCrashedIt)
			.map(InterruptedRequest::request)
			.toList();
		if (presence == Presence.REFUSES && !suspects.isEmpty()) {
			this.news.onCrash(CrashReport.of(upstream.incarnation(), cuts.sinceMs, suspects));
		}
	}

	/**
	 * What was cut off at one upstream.
	 *
	 * @param sinceMs when the first was, on the steady clock
	 * @param requests all of it
	 */
	private record Cuts(long sinceMs, List<InterruptedRequest> requests) {
	}

}
