package org.tallycart.node.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;

import org.apache.hc.core5.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.pool.PieceOutcome;
import org.tallycart.core.serving.Prompt;
import org.tallycart.core.serving.SendOptions;
import org.tallycart.core.serving.UpstreamReply;
import org.tallycart.core.serving.Workspace;
import org.tallycart.core.upstream.UpstreamChoice;
import org.tallycart.core.upstream.UpstreamState;
import org.tallycart.http.event.Responder;
import org.tallycart.runtime.event.EventCode;

/**
 * The course of one request: stage work, then sends to upstreams, then one answer.
 * <p>
 * Invariants: the caller gets one answer. A request that may not be repeated is sent
 * again only after a send that provably did not run it. "Not run" is answered only while
 * no send may have run the request. Not thread-safe: belongs to the event loop.
 */
final class RequestFlow implements StageExecution.Listener, UpstreamPicker.Listener, Attempt.Listener {

	/**
	 * Time kept for the final answer to reach the caller before it leaves, in
	 * milliseconds.
	 */
	private static final long ANSWER_MS = 15;

	/** Least time left for another send to be of use, in milliseconds. */
	private static final long LEAST_SEND_MS = 30;

	/** Upstreams to which a connection is tried before a request is given up. */
	private static final int MAX_CONNECTS = 4;

	/** First status of failures. */
	private static final int FIRST_FAILURE = 400;

	/**
	 * Statuses that promise "not run"; an upstream that may have run it cannot promise
	 * that.
	 */
	private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

	private final ServingContext serving;

	private final RequestPlan plan;

	private final Responder responder;

	private final StageExecution stages;

	private final EventSplitter events;

	private final UpstreamPicker picker;

	private final RetryAfterPolicy returns;

	private List<String> inputs = List.of();

	private @Nullable Attempt attempt;

	private final Runnable onQuarantined = this::onQuarantined;

	private @Nullable ScheduledFuture<?> end;

	private int sends;

	private boolean arrivalCounted;

	private long firstPartMs;

	private boolean mayHaveRun;

	private boolean streaming;

	private boolean finished;

	RequestFlow(ServingContext serving, RequestPlan plan, Responder responder) {
		this.serving = serving;
		this.plan = plan;
		this.responder = responder;
		this.stages = new StageExecution(serving, plan, this);
		this.picker = new UpstreamPicker(serving, plan, this);
		this.returns = new RetryAfterPolicy(serving, plan);
		this.events = new EventSplitter(plan.request().lastEventId());
	}

	void start() {
		this.responder.onCallerGone(this::onCallerGone);
		this.responder.onBackpressure((paused) -> {
			if (this.attempt != null) {
				this.attempt.pause(paused);
			}
		});
		this.end = this.serving.loop().schedule(this.plan.endMs() - ANSWER_MS - now(), this::onTimeOver);
		this.serving.quarantine().addInFlight(this.plan.fingerprint(), this.onQuarantined);
		if (this.serving.quarantine().remainingMs(this.plan.fingerprint(), now()) > 0) {
			onQuarantined();
			return;
		}
		if (this.returns.acceptsInMs() > this.stages.expectedMs()) {
			giveUp("all its upstreams rest or leave");
			return;
		}
		long excessMs = this.stages.expectedExcessMs(this.plan.beginsByMs());
		if (excessMs > 0) {
			giveUp(excessMs + RetryAfterPolicy.BUSY_MS, "stage work is expected to be " + excessMs + " ms late");
			return;
		}
		this.stages.start();
	}

	private long now() {
		return this.serving.loop().nowMs();
	}

	// Each upstream that begins to run it ends, with all else that runs there; also one
	// in whose queue it waits.
	private void onQuarantined() {
		if (this.finished) {
			return;
		}
		this.mayHaveRun |= this.attempt != null;
		this.serving.metrics().onQuarantined();
		giveUp(this.serving.quarantine().remainingMs(this.plan.fingerprint(), now()),
				"upstreams that ran it have crashed");
	}

	@Override
	public void onMade(List<String> made) {
		if (!this.finished) {
			if (!made.isEmpty()) {
				this.serving.metrics().onStageWorkDone(now() - this.plan.arrivedMs());
			}
			this.inputs = made;
			send();
		}
	}

	@Override
	public void onNotMade(PieceOutcome outcome) {
		if (!this.finished) {
			giveUp(this.returns.afterPieceMs(outcome), "stage work: " + outcome.status());
		}
	}

	private void send() {
		if (this.plan.endMs() - now() < LEAST_SEND_MS) {
			giveUp("no time left");
		}
		else {
			this.picker.pick();
		}
	}

	@Override
	public void onPicked(UpstreamChoice choice) {
		UpstreamState upstream = choice.upstream();
		long left = this.plan.endMs() - now();
		this.sends++;
		if (!this.arrivalCounted) {
			this.arrivalCounted = true;
			this.serving.budgets().onArrival(this.plan.service());
		}
		this.serving.log()
			.request(EventCode.UPSTREAM_CHOSEN, this.plan.request().id(), "upstream", upstream.entry().id(), "domain",
					upstream.entry().failureDomain(), "cold_ms", upstream.remainingColdMs(now()), "limit",
					this.serving.statements().limitText(upstream.entry()), "accepts_in_ms",
					this.serving.statements().acceptsInMs(upstream.entry()), "send", this.sends, "in_flight",
					upstream.inFlight(), "error_rate", upstream.errorRate(), "left_ms", left, "session", session(),
					"fetch_from", choice.fetchFrom().map((from) -> from.entry().id()).orElse("none"));
		this.serving.cold().onSend(upstream, now());
		this.serving.statements().onSend(upstream.entry());
		Attempt fresh = new Attempt(this.serving, this.plan, choice, this);
		this.attempt = fresh;
		limitSilence(fresh);
		fresh.send(options(choice, left));
	}

	@Override
	public void onNonePicked() {
		if (this.returns.acceptsInMs() > 0) {
			giveUp("all its upstreams rest or leave");
			return;
		}
		long turnInMs = this.picker.turnInMs();
		if (turnInMs > 0) {
			giveUp(Math.max(turnInMs, RetryAfterPolicy.UNREACHABLE_MS), "its upstreams take no more now");
			return;
		}
		long warmInMs = this.serving.directory()
			.candidates(this.plan.service(), now())
			.stream()
			.mapToLong((state) -> state.remainingColdMs(now()))
			.min()
			.orElse(0);
		if (warmInMs > 0) {
			giveUp(Math.max(warmInMs, RetryAfterPolicy.UNREACHABLE_MS), "its upstreams are cold");
		}
		else {
			giveUp("no upstream");
		}
	}

	private String session() {
		return this.plan.request().prompt().map(Prompt::session).orElse("none");
	}

	private SendOptions options(UpstreamChoice choice, long left) {
		boolean generation = this.plan.request().prompt().isPresent();
		return new SendOptions(left, this.plan.workspace().map(Workspace::name),
				generation ? Optional.of(this.plan.rank().enginePriority()) : Optional.empty(), this.inputs,
				choice.fetchFrom().map(UpstreamState::entry), this.events.lastId());
	}

	// Only where the request may be sent again is silence a reason to go elsewhere.
	private void limitSilence(Attempt fresh) {
		if (!this.plan.route().repeatable() || this.sends >= this.plan.route().maxAttempts()) {
			return;
		}
		fresh.limitSilence(IdleTimeouts.of(this.plan.route(), this.streaming));
	}

	@Override
	public void onStream(UpstreamReply head) {
		if (!this.streaming) {
			this.streaming = true;
			this.responder.begin(CallerResponses.passed(head));
		}
	}

	@Override
	public void onPart(byte[] part) {
		if (this.firstPartMs == 0) {
			this.firstPartMs = now() - this.plan.arrivedMs();
			this.serving.metrics().onFirstEvent(this.firstPartMs);
		}
		this.stages.giveBack();
		this.events.receive(part, this.responder::write);
	}

	@Override
	public void onStreamEnd(Attempt ended) {
		this.serving.crashes().onServed(this.plan.fingerprint());
		this.responder.write(this.events.rest());
		this.responder.end();
		finish("stream_complete", EventCode.REQUEST_ANSWERED, "stream", "complete", "first_ms", this.firstPartMs,
				"sends", this.sends);
	}

	@Override
	public void onAnswer(Attempt ended, UpstreamReply head, byte[] body) {
		logResult(ended, "status " + head.status());
		boolean failed = head.status() >= FIRST_FAILURE;
		if (!failed) {
			this.serving.crashes().onServed(this.plan.fingerprint());
		}
		else {
			this.mayHaveRun = true;
			if (this.plan.route().repeatable() && mayRepeat()) {
				send();
				return;
			}
		}
		if (this.streaming) {
			abort("status " + head.status());
		}
		else if (failed && PROMISES.contains(head.status())) {
			answer(CallerResponses.ANSWER_LOST,
					"status " + head.status() + " without the statement that it has not run");
		}
		else {
			this.responder.send(CallerResponses.passed(head), body);
			finish("status_" + head.status(), EventCode.REQUEST_ANSWERED, "status", head.status(), "sends", this.sends);
		}
	}

	@Override
	public void onResult(Attempt ended, AttemptFailure result) {
		logResult(ended, result.kind() + ": " + result.detail());
		this.serving.metrics().onSendFailed(result.kind().name().toLowerCase(Locale.ROOT));
		this.events.dropPartial();
		this.mayHaveRun |= result.mayHaveRun();
		if (result.mayHaveRun()) {
			this.serving.crashes().onInterrupted(ended.upstream().entry(), ended.cut());
		}
		switch (result.kind()) {
			case NOT_SENT -> {
				this.sends--;
				send(result);
			}
			case INPUT_GONE -> {
				this.sends--;
				this.picker.retry(ended.upstream().entry().id());
				if (!this.stages.remake()) {
					giveUp("stage results are gone");
				}
			}
			case NOT_RUN, BROKEN -> send(result);
		}
	}

	private void send(AttemptFailure after) {
		boolean allowed = !after.mayHaveRun() || this.plan.route().repeatable();
		boolean free = after.kind() == AttemptFailure.Kind.NOT_SENT && this.picker.tried() <= MAX_CONNECTS;
		if (allowed && (free || mayRepeat())) {
			send();
		}
		else {
			giveUp(after.detail());
		}
	}

	private boolean mayRepeat() {
		if (this.sends >= this.plan.route().maxAttempts() || this.plan.endMs() - now() < LEAST_SEND_MS) {
			return false;
		}
		boolean granted = this.serving.budgets().tryRepeat(this.plan.service());
		if (!granted) {
			this.serving.metrics().onRetryDenied();
			this.serving.log()
				.request(EventCode.REPEAT_DENIED, this.plan.request().id(), "service", this.plan.service());
		}
		return granted;
	}

	private void logResult(Attempt ended, String outcome) {
		this.serving.log()
			.request(EventCode.UPSTREAM_REPLIED, this.plan.request().id(), "upstream", ended.upstream().entry().id(),
					"took_ms", ended.ageMs(), "outcome", outcome);
	}

	private void giveUp(String reason) {
		giveUp(this.returns.againInMs(), reason);
	}

	private void giveUp(long retryAfterMs, String reason) {
		if (this.mayHaveRun) {
			answer(CallerResponses.ANSWER_LOST, reason);
		}
		else {
			answer(CallerResponses.notRun(retryAfterMs), reason);
		}
	}

	private void onTimeOver() {
		if (this.finished) {
			return;
		}
		if (this.mayHaveRun || this.attempt != null) {
			answer(CallerResponses.TIME_OVER, "time is over");
		}
		else {
			giveUp(RetryAfterPolicy.BUSY_MS, "time is over before it ran");
		}
	}

	private void onCallerGone() {
		finish("caller_gone", EventCode.CALLER_GONE, "sends", this.sends);
	}

	private void abort(String reason) {
		this.responder.abort();
		finish("stream_broken", EventCode.REQUEST_ANSWERED, "stream", "broken", "reason", reason, "sends", this.sends);
	}

	private void answer(int status, String reason) {
		answer(CallerResponses.own(status), reason);
	}

	// A stream that has begun cannot be followed by another answer: it is cut off.
	private void answer(HttpResponse head, String reason) {
		if (this.streaming) {
			abort(reason);
			return;
		}
		this.responder.send(head, new byte[0]);
		finish("declined_" + head.getCode(), EventCode.REQUEST_DECLINED, "status", head.getCode(), "reason", reason,
				"sends", this.sends);
	}

	private void finish(String outcome, EventCode code, Object... pairs) {
		if (this.finished) {
			return;
		}
		this.finished = true;
		this.picker.stop();
		this.serving.quarantine().removeInFlight(this.plan.fingerprint(), this.onQuarantined);
		if (this.end != null) {
			this.end.cancel(false);
		}
		if (this.attempt != null) {
			this.attempt.cancel();
		}
		this.stages.drop();
		long totalMs = now() - this.plan.arrivedMs();
		this.serving.metrics().onRequestEnded(outcome, totalMs);
		List<Object> all = new ArrayList<>(List.of(pairs));
		all.add("total_ms");
		all.add(totalMs);
		this.serving.log().request(code, this.plan.request().id(), all.toArray());
	}

}
