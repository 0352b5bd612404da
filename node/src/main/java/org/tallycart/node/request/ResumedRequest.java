package org.tallycart.node.request;

import java.util.Optional;
import java.util.concurrent.ScheduledFuture;

import org.apache.hc.core5.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.outcome.UncaughtErrorReporter;
import org.tallycart.core.stream.StreamOrigin;
import org.tallycart.core.stream.StreamOriginRegistry.LookupSource;
import org.tallycart.http.event.Responder;
import org.tallycart.runtime.event.EventCode;

/**
 * A stream that its caller resumes, while it is looked up where the stream began. Events
 * of two software versions do not fit together, so a stream of an unknown version is not
 * resumed.
 * <p>
 * Invariants: it ends once, with a response, with its caller or with the start of its
 * {@link RequestFlow}; nothing has run until then. Not thread-safe: confined to the event
 * loop.
 */
final class ResumedRequest implements InFlightRequest {

	private final ServingContext context;

	private final RequestPlan plan;

	private final Responder responder;

	private @Nullable ScheduledFuture<?> deadlineTimer;

	private boolean ended;

	ResumedRequest(ServingContext context, RequestPlan plan, Responder responder) {
		this.context = context;
		this.plan = plan;
		this.responder = responder;
	}

	void start() {
		this.responder.onCallerDisconnected(this::onCallerGone);
		this.responder.onHandlingFailed(this::onHandlingFailed);
		this.context.inFlight().add(this);
		if (this.context.inFlight().refuses(this.plan)) {
			stop();
			return;
		}
		this.deadlineTimer = this.context.loop()
			.schedule(this.plan.deadlineMs() - RequestFlow.RESPONSE_MARGIN_MS - this.context.loop().nowMs(),
					this::onDeadline);
		this.context.streamOrigins().find(this.plan.request().resumedRequest(), this.plan.service(), this::onFound);
	}

	private void onFound(Optional<StreamOrigin> origin, LookupSource source) {
		this.context.log()
			.request(EventCode.STREAM_ORIGIN_SOUGHT, this.plan.request().id(), "resumes",
					this.plan.request().resumedRequest().orElse("none"), "software",
					origin.map(StreamOrigin::softwareVersion).orElse("unknown"), "by", source, "took_ms", ageMs());
		if (this.ended) {
			return;
		}
		try {
			proceed(origin);
		}
		catch (Exception | Error ex) {
			onHandlingFailed();
			UncaughtErrorReporter.report(ex);
		}
	}

	private void proceed(Optional<StreamOrigin> origin) {
		if (origin.filter((begun) -> this.plan.route().leadsTo(begun.service())).isEmpty()) {
			decline(RetryAfterPolicy.UNREACHABLE_MS,
					origin.isEmpty() ? "the software version that began the stream is unknown"
							: "the route no longer leads to the service that began the stream");
			return;
		}
		RequestFlow flow = new RequestFlow(this.context, this.plan.resumedAt(origin.get()), this.responder);
		end();
		new GuardedCallbacks(flow).run(flow::start);
	}

	private void onDeadline() {
		decline(RetryAfterPolicy.BUSY_MS, "deadline exceeded while the origin of the stream was looked up");
	}

	// A refusal that has failed leaves nothing to tell the caller.
	private void onHandlingFailed() {
		if (this.ended) {
			this.responder.abort();
		}
		else {
			decline(RetryAfterPolicy.UNREACHABLE_MS, "the handling of the request failed unexpectedly");
		}
	}

	private void onCallerGone() {
		if (end()) {
			this.context.log().request(EventCode.CALLER_GONE, this.plan.request().id(), "sends", 0);
			this.context.metrics().onRequestEnded("caller_gone", ageMs());
		}
	}

	@Override
	public void refuseIfNotSent() {
		stop();
	}

	@Override
	public void stop() {
		if (!this.ended) {
			new AttemptLog(this.context, this.plan).onStopped("not_sent", 0, this.plan.request().lastEventId(),
					"not_run");
			decline(RetryAfterPolicy.UNREACHABLE_MS, "this VM stops");
		}
	}

	private void decline(long retryAfterMs, String reason) {
		if (!end()) {
			return;
		}
		HttpResponse head = CallerResponses.notRun(retryAfterMs);
		this.responder.send(head, new byte[0]);
		this.context.metrics().onRequestEnded("declined_" + head.getCode(), ageMs());
		this.context.log()
			.request(EventCode.REQUEST_DECLINED, this.plan.request().id(), "status", head.getCode(), "reason", reason,
					"total_ms", ageMs());
	}

	// Returns false if it had ended already.
	private boolean end() {
		if (this.ended) {
			return false;
		}
		this.ended = true;
		this.context.inFlight().remove(this);
		if (this.deadlineTimer != null) {
			this.deadlineTimer.cancel(false);
		}
		return true;
	}

	private long ageMs() {
		return this.context.loop().nowMs() - this.plan.arrivedMs();
	}

}
