package org.tallycart.node.request;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;

import org.apache.hc.core5.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.serving.RequestKind;
import org.tallycart.core.serving.SendOptions;
import org.tallycart.core.serving.UpstreamReply;
import org.tallycart.core.upstream.UpstreamChoice;
import org.tallycart.core.upstream.UpstreamState;
import org.tallycart.http.event.Call;
import org.tallycart.http.event.CallFailure;
import org.tallycart.http.event.ClientRequest;
import org.tallycart.http.event.HeldBuffer;
import org.tallycart.http.event.LimitExceeded;
import org.tallycart.http.event.MessageLimit;
import org.tallycart.http.event.ReceiveLimits;
import org.tallycart.http.event.ReplyEnd;
import org.tallycart.http.event.ReplyListener;
import org.tallycart.node.crash.InterruptedRequest;
import org.tallycart.platform.http.UpstreamCodec;
import org.tallycart.runtime.event.EventCode;

/**
 * A single attempt to run a request at one upstream.
 * <p>
 * Invariant: the listener gets at most one terminal callback, and no callback after it or
 * after {@link #cancel()}. Not thread-safe: confined to the event loop.
 */
final class Attempt implements ReplyListener {

	private static final int CONFLICT = 409;

	private static final int CONNECT_TIMEOUT_MS = 300;

	/**
	 * Time since the head of a stream from which its prompt has crashed no upstream, in
	 * milliseconds. A crash follows the first token within a fraction of it, also at a
	 * slow upstream.
	 */
	private static final long PROMPT_READ_MS = 1_000;

	private final ServingContext context;

	private final RequestPlan plan;

	private final UpstreamState upstream;

	private final String softwareVersion;

	private final Listener listener;

	private final long startedMs;

	private final double prefillMs;

	// Whether the time to the first event tells how fast the engine reads.
	private boolean tellsSpeed;

	private final HeldBuffer body;

	private final EventSplitter events;

	private @Nullable UpstreamReply reply;

	private @Nullable Call call;

	private @Nullable ScheduledFuture<?> silenceTimer;

	private @Nullable ScheduledFuture<?> slowTimer;

	private final SilenceLimits silenceLimits;

	private long headMs;

	private long lastHeardMs;

	private boolean prefillDone;

	private boolean promptRead;

	private boolean paused;

	private boolean ended;

	Attempt(ServingContext context, RequestPlan plan, UpstreamChoice choice, Optional<String> lastEventId,
			SilenceLimits silenceLimits, Listener listener) {
		this.context = context;
		this.plan = plan;
		this.upstream = choice.upstream();
		this.softwareVersion = choice.upstream().entry().softwareVersion();
		ReceiveLimits limits = context.http().receiveLimits();
		this.body = new HeldBuffer(MessageLimit.REPLY_BYTES, limits.message().replyBytes(), limits.held(),
				this::onLimitExceeded);
		this.events = new EventSplitter(lastEventId, limits, this::onLimitExceeded);
		this.silenceLimits = silenceLimits;
		this.listener = listener;
		this.startedMs = context.loop().nowMs();
		this.lastHeardMs = this.startedMs;
		this.prefillMs = plan.request()
			.prompt()
			.map(context.readingSpeeds().cost(plan.service())::prefillMs)
			.orElse(0.0);
		this.tellsSpeed = lastEventId.isEmpty() && !this.upstream.hasPendingPrefill();
	}

	void send(SendOptions options) {
		this.upstream.onSend(this.prefillMs);
		ClientRequest exchange = ClientRequest
			.builder(this.upstream.entry().incarnation(), this.upstream.entry().address(),
					UpstreamCodec.encode(this.plan.request(), this.upstream.entry(), options))
			.body(this.plan.request().body())
			.connectTimeoutMs(CONNECT_TIMEOUT_MS)
			.build();
		restartSilenceTimer(this.silenceLimits.initialMs());
		this.call = this.context.http().call(exchange, this);
	}

	/**
	 * Report this attempt as slow while it has sent no event or reply.
	 * @param afterMs the time from now, in milliseconds
	 * @param intervalMs the time until the next report, in milliseconds; doubles with
	 * each
	 */
	void reportSlow(long afterMs, long intervalMs) {
		this.slowTimer = this.context.loop().schedule(afterMs, () -> {
			if (!this.ended) {
				reportSlow(intervalMs, 2 * intervalMs);
				this.listener.onSlow(this);
			}
		});
	}

	private void stopSlowTimer() {
		if (this.slowTimer != null) {
			this.slowTimer.cancel(false);
			this.slowTimer = null;
		}
	}

	private void restartSilenceTimer(long ms) {
		if (this.silenceTimer != null) {
			this.silenceTimer.cancel(false);
		}
		if (!this.ended && !this.paused) {
			this.silenceTimer = this.context.loop().schedule(ms, this::onSilence);
		}
	}

	// The attempt goes on: only the listener knows whether another one can replace it.
	private void onSilence() {
		if (this.ended) {
			return;
		}
		long now = this.context.loop().nowMs();
		this.upstream.onSilent(this.lastHeardMs, now);
		boolean sought = this.listener.onSilent(this);
		this.context.log()
			.request(EventCode.UPSTREAM_SILENT, this.plan.request().id(), "upstream", this.upstream.entry().id(),
					"silent_ms", now - this.lastHeardMs, "answered_ms", answeredMs(), "silent_upstreams",
					silentUpstreams(), "sought", sought);
		restartSilenceTimer(this.silenceLimits.subsequentMs());
	}

	// Time since the head of the reply; negative if there is none.
	private long answeredMs() {
		return (this.headMs > 0) ? this.context.loop().nowMs() - this.headMs : InterruptedRequest.NOT_ANSWERED;
	}

	private String silentUpstreams() {
		long now = this.context.loop().nowMs();
		List<UpstreamState> all = this.context.directory().activeUpstreams(this.plan.service());
		return all.stream().filter((state) -> state.isSilent(now)).count() + "/" + all.size();
	}

	// A refusal or an error does not show that this attempt will be answered.
	private void markHeard(UpstreamReply head) {
		this.lastHeardMs = this.context.loop().nowMs();
		long silentMs = this.upstream.onHeard(this.lastHeardMs);
		if (silentMs > 0) {
			this.context.log()
				.request(EventCode.UPSTREAM_SPOKE, this.plan.request().id(), "upstream", this.upstream.entry().id(),
						"silent_ms", silentMs);
		}
		if (head.success()) {
			this.listener.onHeard(this);
		}
	}

	@Override
	public boolean onHead(HttpResponse head) {
		UpstreamReply decoded = UpstreamCodec.decode(head);
		String id = this.plan.request().id();
		if (decoded.requestId().isPresent() && !decoded.requestId().get().equals(id)) {
			this.context.log()
				.request(EventCode.ANSWER_DROPPED, id, "upstream", this.upstream.entry().id(), "answers",
						decoded.requestId().get());
			return false;
		}
		this.reply = decoded;
		if (head.containsHeader("Content-Length")) {
			this.body.markLengthKnown();
		}
		markHeard(decoded);
		this.headMs = this.context.loop().nowMs();
		long untilInitialMs = this.startedMs + this.silenceLimits.initialMs() - this.headMs;
		restartSilenceTimer(Math.max(untilInitialMs, this.silenceLimits.subsequentMs()));
		this.context.statements().onReply(this.upstream.entry(), decoded);
		decoded.load().ifPresent((load) -> this.upstream.onReport(load, this.context.loop().nowMs()));
		if (isStream(decoded)) {
			this.listener.onStreamHead(this, decoded);
		}
		else {
			stopSlowTimer();
		}
		return true;
	}

	private boolean isStream(UpstreamReply decoded) {
		return decoded.success() && decoded.stamped() && this.plan.route().kind() == RequestKind.STREAMING;
	}

	@Override
	public void onBody(byte[] part) {
		UpstreamReply head = this.reply;
		if (head == null || this.ended) {
			return;
		}
		if (isStream(head)) {
			markPrefillDone();
			checkPromptRead();
			this.events.receive(part, (complete) -> onEvents(head, complete));
		}
		else {
			onProgress(head);
			this.body.append(part, 0, part.length);
		}
	}

	// Part of an event, or comments, may be all that the upstream ever sends.
	private void onEvents(UpstreamReply head, byte[] complete) {
		if (this.events.hasProgressed()) {
			stopSlowTimer();
			onProgress(head);
			observeReadingSpeed(head);
			this.listener.onEvents(this, head, complete, this.events.lastId());
		}
		else {
			this.listener.onComments(this, complete);
		}
	}

	// The time was spent reading the prompt only if nothing else waited at the engine.
	private void observeReadingSpeed(UpstreamReply head) {
		if (!this.tellsSpeed) {
			return;
		}
		this.tellsSpeed = false;
		boolean idle = head.load().filter((load) -> load.waiting() == 0).isPresent();
		if (idle && this.plan.request().prompt().isPresent()) {
			long now = this.context.loop().nowMs();
			double usualMs = (now - this.startedMs) / this.upstream.slowdown(now);
			if (this.context.readingSpeeds()
				.onFirstEvent(this.plan.service(), this.plan.request().prompt().get(), usualMs)) {
				this.context.metrics().onReadingSpeedObserved();
			}
		}
	}

	private void onProgress(UpstreamReply head) {
		markHeard(head);
		restartSilenceTimer(this.silenceLimits.subsequentMs());
	}

	// A message that gives way to others does not show that its upstream is faulty.
	private void onLimitExceeded(LimitExceeded exceeded) {
		if (this.ended) {
			return;
		}
		cancel();
		if (exceeded.limit() != MessageLimit.HELD_BYTES) {
			this.upstream.onError();
		}
		failOverLimit(CallFailure.of(exceeded));
	}

	private void failOverLimit(CallFailure failure) {
		this.context.metrics().onLimitExceeded(failure);
		this.context.log()
			.request(EventCode.REPLY_EXCEEDS_LIMIT, this.plan.request().id(), "upstream", this.upstream.entry().id(),
					"detail", failure.detail());
		this.listener.onAttemptFailed(this, new AttemptFailure(AttemptFailure.Kind.LIMIT_EXCEEDED, failure.detail()));
	}

	private void checkPromptRead() {
		if (!this.promptRead && this.context.loop().nowMs() - this.headMs >= PROMPT_READ_MS) {
			this.promptRead = true;
			this.context.crashDetector().onPartsRead(this.plan.content());
		}
	}

	private void markPrefillDone() {
		if (!this.prefillDone) {
			this.prefillDone = true;
			this.upstream.onPrefillDone(this.prefillMs);
		}
	}

	@Override
	public void onEnd(ReplyEnd end) {
		UpstreamReply head = this.reply;
		if (head == null || this.ended) {
			return;
		}
		if (head.notRun()) {
			boolean inputGone = head.status() == CONFLICT;
			fail(new AttemptFailure(inputGone ? AttemptFailure.Kind.INPUT_GONE : AttemptFailure.Kind.NOT_RUN,
					"status " + head.status()));
		}
		else if (isStream(head)) {
			onStreamEnd(head, end);
		}
		else if (head.success() && !head.stamped()) {
			this.upstream.onError();
			fail(new AttemptFailure(AttemptFailure.Kind.BROKEN, "success without the upstream's stamp"));
		}
		else {
			onReply(head, end);
		}
	}

	private void onStreamEnd(UpstreamReply head, ReplyEnd end) {
		Optional<String> incomplete = this.events.incompleteReason(end);
		if (incomplete.isPresent()) {
			onFailure(new CallFailure(CallFailure.Kind.CLOSED, true, incomplete.get() + ", ended by " + end));
			return;
		}
		this.upstream.onSuccess();
		byte[] remainder = this.events.takeRemainder();
		close();
		this.listener.onStreamEnd(this, head, remainder, end);
	}

	private void onReply(UpstreamReply head, ReplyEnd end) {
		if (head.success()) {
			this.upstream.onSuccess();
		}
		else {
			this.upstream.onError();
		}
		byte[] content = this.body.take();
		close();
		this.listener.onReply(this, head, content, end);
	}

	@Override
	public void onFailure(CallFailure failure) {
		if (this.ended) {
			return;
		}
		if (failure.kind() == CallFailure.Kind.LIMIT_EXCEEDED) {
			close();
			this.upstream.onError();
			failOverLimit(failure);
			return;
		}
		this.upstream.onUnreachable(this.context.loop().nowMs());
		this.context.log()
			.event(EventCode.UPSTREAM_UNREACHABLE, "upstream", this.upstream.entry().id(), "failure", failure.kind(),
					"detail", failure.detail());
		AttemptFailure.Kind kind = failure.sent() ? AttemptFailure.Kind.BROKEN : AttemptFailure.Kind.NOT_SENT;
		fail(new AttemptFailure(kind, failure.kind() + ": " + failure.detail()));
	}

	private void fail(AttemptFailure failure) {
		close();
		this.listener.onAttemptFailed(this, failure);
	}

	private void close() {
		this.ended = true;
		this.body.release();
		this.events.close();
		markPrefillDone();
		this.upstream.onEnd();
		stopSlowTimer();
		if (this.silenceTimer != null) {
			this.silenceTimer.cancel(false);
		}
	}

	/** Cancel the attempt; the upstream sees its connection close. */
	void cancel() {
		if (!this.ended) {
			close();
			if (this.call != null) {
				this.call.cancel();
			}
		}
	}

	/**
	 * Stop or go on reading, because the caller reads slowly. Silence does not count
	 * meanwhile.
	 * @param value whether reading stops
	 */
	void pause(boolean value) {
		if (this.call == null || this.ended) {
			return;
		}
		this.paused = value;
		this.call.setPaused(value);
		restartSilenceTimer(this.silenceLimits.subsequentMs());
	}

	/**
	 * Return the software version of the upstream when the attempt began. Its entry may
	 * change later, with a restart under the same name.
	 * @return the version
	 */
	String softwareVersion() {
		return this.softwareVersion;
	}

	UpstreamState upstream() {
		return this.upstream;
	}

	// Describes this attempt as interrupted, for crash detection.
	InterruptedRequest interrupted() {
		return new InterruptedRequest(this.plan.asSuspect(this.startedMs), answeredMs());
	}

	/**
	 * Return whether the end of the reply shows that the upstream has not crashed. The
	 * connection of an upstream that crashes may end as a reply without framing does.
	 * @param end how the end was detected
	 * @return true if it does
	 */
	boolean isEndedByUpstream(ReplyEnd end) {
		return end == ReplyEnd.FRAMED || this.promptRead;
	}

	long elapsedMs() {
		return this.context.loop().nowMs() - this.startedMs;
	}

	/** Callbacks of an attempt. */
	interface Listener {

		/**
		 * Handle an upstream that has sent nothing for longer than expected. The attempt
		 * goes on; this is called again while the silence lasts.
		 * @param attempt the attempt
		 * @return whether another attempt is sought
		 */
		boolean onSilent(Attempt attempt);

		/**
		 * Handle an attempt that has sent no event or reply for longer than most. This is
		 * called again while that lasts, if it was asked for.
		 * @param attempt the attempt
		 */
		void onSlow(Attempt attempt);

		/**
		 * Handle bytes of a success from the upstream, before anything that follows from
		 * them.
		 * @param attempt the attempt
		 */
		void onHeard(Attempt attempt);

		/**
		 * Handle the head of a stream, which may continue an interrupted one.
		 * @param attempt the attempt
		 * @param head the head
		 */
		void onStreamHead(Attempt attempt, UpstreamReply head);

		/**
		 * Handle comments and blank lines of the stream, which are no progress.
		 * @param attempt the attempt
		 * @param comments the bytes of the comments
		 */
		void onComments(Attempt attempt, byte[] comments);

		/**
		 * Handle complete events of the stream, at least one of which holds a field.
		 * @param attempt the attempt
		 * @param head the head of the stream
		 * @param events the bytes of the events
		 * @param lastId the id of the last event; empty if none has had one
		 */
		void onEvents(Attempt attempt, UpstreamReply head, byte[] events, Optional<String> lastId);

		/**
		 * Handle the end of a complete stream.
		 * @param attempt the attempt
		 * @param head the head of the stream
		 * @param remainder the blank lines and comments after the last event
		 * @param end how the end was detected
		 */
		void onStreamEnd(Attempt attempt, UpstreamReply head, byte[] remainder, ReplyEnd end);

		/**
		 * Handle a complete reply that is not a stream.
		 * @param attempt the attempt
		 * @param head the head of the reply
		 * @param body the body of the reply
		 * @param end how the end was detected
		 */
		void onReply(Attempt attempt, UpstreamReply head, byte[] body, ReplyEnd end);

		/**
		 * Handle the end of an attempt that has no reply for the caller.
		 * @param attempt the attempt
		 * @param failure the reason
		 */
		void onAttemptFailed(Attempt attempt, AttemptFailure failure);

	}

}
