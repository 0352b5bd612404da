package org.tallycart.node.request;

import java.util.Optional;

import org.tallycart.core.serving.LoadReport;
import org.tallycart.core.serving.Prompt;
import org.tallycart.core.upstream.RetryUsage;
import org.tallycart.core.upstream.UpstreamChoice;
import org.tallycart.core.upstream.UpstreamState;
import org.tallycart.runtime.event.EventCode;

/**
 * Logs and counts what becomes of the attempts of one request.
 * <p>
 * Not thread-safe: confined to the event loop.
 */
final class AttemptLog {

	private static final String NONE = "none";

	private static final double PERCENT = 100;

	private final ServingContext context;

	private final RequestPlan plan;

	AttemptLog(ServingContext context, RequestPlan plan) {
		this.context = context;
		this.plan = plan;
	}

	private void log(EventCode code, Object... pairs) {
		this.context.log().request(code, this.plan.request().id(), pairs);
	}

	void onChosen(UpstreamChoice choice, int number, AttemptReason reason, Optional<String> afterEvent) {
		UpstreamState upstream = choice.upstream();
		long now = this.context.loop().nowMs();
		Optional<UpstreamState> source = choice.fetchFrom();
		double slowdown = upstream.slowdown(now);
		if (slowdown > LoadReport.USUAL_SLOWDOWN) {
			this.context.metrics().onSendToSlow();
		}
		log(EventCode.UPSTREAM_CHOSEN, "upstream", upstream.entry().id(), "software",
				upstream.entry().softwareVersion(), "domain", upstream.entry().failureDomain(), "cold_ms",
				upstream.remainingColdMs(now), "limit", this.context.statements().limitText(upstream.entry()),
				"accepts_in_ms", this.context.statements().acceptsInMs(upstream.entry()), "send", number, "reason",
				reason, "in_flight", upstream.inFlight(), "error_rate", upstream.errorRate(), "slowdown",
				Math.round(slowdown * PERCENT) / PERCENT, "left_ms", this.plan.deadlineMs() - now, "session",
				this.plan.request().prompt().map(Prompt::session).orElse(NONE), "fetch_from",
				source.map((from) -> from.entry().id()).orElse(NONE), "fetch_software",
				source.map((from) -> from.entry().softwareVersion()).orElse(NONE), "after_event",
				afterEvent.orElse(NONE));
	}

	void onEnded(Attempt attempt, String outcome) {
		log(EventCode.UPSTREAM_REPLIED, "upstream", attempt.upstream().entry().id(), "took_ms", attempt.elapsedMs(),
				"outcome", outcome);
	}

	/**
	 * Log that a stream goes on at another upstream within the same response.
	 * @param attempt the attempt that continues it
	 * @param begunAt the software version that began it
	 * @param afterEvent the last event that the caller has got
	 */
	void onStreamContinued(Attempt attempt, String begunAt, Optional<String> afterEvent) {
		String version = attempt.softwareVersion();
		this.context.metrics().onStreamContinued(begunAt.equals(version));
		log(EventCode.STREAM_CONTINUED, "upstream", attempt.upstream().entry().id(), "from_software", begunAt,
				"to_software", version, "after_event", afterEvent.orElse(NONE));
	}

	void onReplaced(Attempt silent, Attempt answered, Optional<String> afterEvent) {
		onEnded(silent, "CANCELLED: another attempt is answered");
		this.context.metrics().onAttemptReplaced();
		log(EventCode.ATTEMPT_REPLACED, "upstream", silent.upstream().entry().id(), "by",
				answered.upstream().entry().id(), "after_event", afterEvent.orElse(NONE));
	}

	void onHedgeAbandoned(String reason) {
		log(EventCode.UPSTREAM_SILENT, "sought", "abandoned", "reason", reason);
	}

	void onRetryGranted() {
		this.context.metrics().onRetryGranted();
		logRetryUsage(EventCode.REPEAT_GRANTED);
	}

	void onRetryDenied() {
		this.context.metrics().onRetryDenied();
		logRetryUsage(EventCode.REPEAT_DENIED);
	}

	private void logRetryUsage(EventCode code) {
		RetryUsage usage = this.context.retryBudgets().usage(this.plan.service());
		log(code, "service", this.plan.service(), "repeats", usage.retries(), "allowed",
				Math.round(usage.allowed() * PERCENT) / PERCENT, "requests", usage.arrivals(), "sharing_vms",
				usage.hasSlack() ? usage.sharingVms() : NONE);
	}

	void onStopped(String progress, int sends, Optional<String> afterEvent, String told) {
		this.context.metrics().onRequestStopped();
		log(EventCode.REQUEST_STOPPED, "progress", progress, "sends", sends, "after_event", afterEvent.orElse(NONE),
				"age_ms", this.context.loop().nowMs() - this.plan.arrivedMs(), "told", told);
	}

}
