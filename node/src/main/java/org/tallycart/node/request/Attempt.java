package org.tallycart.node.request;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.ScheduledFuture;

import org.apache.hc.core5.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.serving.RequestKind;
import org.tallycart.core.serving.SendOptions;
import org.tallycart.core.serving.UpstreamReply;
import org.tallycart.core.upstream.PromptCost;
import org.tallycart.core.upstream.UpstreamChoice;
import org.tallycart.core.upstream.UpstreamState;
import org.tallycart.http.event.Call;
import org.tallycart.http.event.CallFailure;
import org.tallycart.http.event.HttpExchange;
import org.tallycart.http.event.ReplyListener;
import org.tallycart.node.crash.InterruptedRequest;
import org.tallycart.platform.http.UpstreamCodec;
import org.tallycart.runtime.event.EventCode;

/**
 * One send of a request to one upstream.
 * <p>
 * Invariant: the owner hears of one ending, and of nothing after it or after a cancel.
 * Not thread-safe: belongs to the event loop.
 */
final class Attempt implements ReplyListener {

	private static final int CONFLICT = 409;

	private static final int CONNECT_TIMEOUT_MS = 300;

	/** An error answer longer than this is not kept whole. */
	private static final int MAX_KEPT_BYTES = 4 << 20;

	private final ServingContext serving;

	private final RequestPlan plan;

	private final UpstreamState upstream;

	private final Listener owner;

	private final long startedMs;

	private final double readMs;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private @Nullable UpstreamReply reply;

	private @Nullable Call call;

	private @Nullable ScheduledFuture<?> silence;

	private long silenceMs;

	private long answeredFromMs;

	private boolean promptRead;

	private boolean ended;

	Attempt(ServingContext serving, RequestPlan plan, UpstreamChoice choice, Listener owner) {
		this.serving = serving;
		this.plan = plan;
		this.upstream = choice.upstream();
		this.owner = owner;
		this.startedMs = serving.loop().nowMs();
		this.readMs = plan.request().prompt().map(PromptCost::prefillMs).orElse(0.0);
	}

	void send(SendOptions options) {
		this.upstream.onSend(this.readMs);
		HttpExchange exchange = HttpExchange
			.to(this.upstream.entry().incarnation(), this.upstream.entry().address(),
					UpstreamCodec.encode(this.plan.request(), this.upstream.entry(), options))
			.body(this.plan.request().body())
			.connectTimeoutMs(CONNECT_TIMEOUT_MS)
			.build();
		this.call = this.serving.http().call(exchange, this);
	}

	/**
	 * Give the attempt up when the upstream is silent.
	 * @param limit for how long
	 */
	void limitSilence(IdleTimeouts limit) {
		this.silenceMs = limit.laterMs();
		restartSilence(limit.firstMs());
	}

	private void restartSilence(long ms) {
		if (this.silence != null) {
			this.silence.cancel(false);
		}
		this.silence = this.serving.loop().schedule(ms, this::onSilence);
	}

	private void onSilence() {
		if (!this.ended) {
			if (this.call != null) {
				this.call.cancel();
			}
			this.upstream.onUnreachable(this.serving.loop().nowMs());
			finish(new AttemptFailure(AttemptFailure.Kind.BROKEN, "silent"));
		}
	}

	@Override
	public boolean onHead(HttpResponse head) {
		UpstreamReply decoded = UpstreamCodec.decode(head);
		String id = this.plan.request().id();
		if (decoded.requestId().isPresent() && !decoded.requestId().get().equals(id)) {
			this.serving.log()
				.request(EventCode.ANSWER_DROPPED, id, "upstream", this.upstream.entry().id(), "answers",
						decoded.requestId().get());
			return false;
		}
		this.reply = decoded;
		this.serving.statements().onReply(this.upstream.entry(), decoded);
		decoded.load().ifPresent((load) -> this.upstream.onReport(load, this.serving.loop().nowMs()));
		if (streams(decoded)) {
			this.owner.onStream(decoded);
		}
		return true;
	}

	private boolean streams(UpstreamReply decoded) {
		return decoded.success() && decoded.stamped() && this.plan.route().kind() == RequestKind.STREAMING;
	}

	@Override
	public void onBody(byte[] part) {
		UpstreamReply present = this.reply;
		if (present == null || this.ended) {
			return;
		}
		if (this.silence != null) {
			restartSilence(this.silenceMs);
		}
		if (this.answeredFromMs == 0) {
			this.answeredFromMs = this.serving.loop().nowMs();
		}
		if (streams(present)) {
			readPrompt();
			this.owner.onPart(part);
		}
		else if (this.body.size() + part.length <= MAX_KEPT_BYTES) {
			this.body.writeBytes(part);
		}
		else {
			cancel();
			this.owner.onResult(this, new AttemptFailure(AttemptFailure.Kind.BROKEN, "an answer that is too long"));
		}
	}

	private void readPrompt() {
		if (!this.promptRead) {
			this.promptRead = true;
			this.upstream.onPrefillDone(this.readMs);
		}
	}

	@Override
	public void onEnd() {
		UpstreamReply present = this.reply;
		if (present == null || this.ended) {
			return;
		}
		if (present.notRun()) {
			boolean inputGone = present.status() == CONFLICT;
			finish(new AttemptFailure(inputGone ? AttemptFailure.Kind.INPUT_GONE : AttemptFailure.Kind.NOT_RUN,
					"status " + present.status()));
		}
		else if (streams(present)) {
			this.upstream.onSuccess();
			close();
			this.owner.onStreamEnd(this);
		}
		else if (present.success() && !present.stamped()) {
			this.upstream.onError();
			finish(new AttemptFailure(AttemptFailure.Kind.BROKEN, "a success without the upstream's mark"));
		}
		else {
			onAnswer(present);
		}
	}

	private void onAnswer(UpstreamReply present) {
		if (present.success()) {
			this.upstream.onSuccess();
		}
		else {
			this.upstream.onError();
		}
		close();
		this.owner.onAnswer(this, present, this.body.toByteArray());
	}

	@Override
	public void onFailure(CallFailure failure) {
		if (this.ended) {
			return;
		}
		this.upstream.onUnreachable(this.serving.loop().nowMs());
		this.serving.log()
			.event(EventCode.UPSTREAM_UNREACHABLE, "upstream", this.upstream.entry().id(), "failure", failure.kind(),
					"detail", failure.detail());
		AttemptFailure.Kind kind = failure.sent() ? AttemptFailure.Kind.BROKEN : AttemptFailure.Kind.NOT_SENT;
		finish(new AttemptFailure(kind, failure.kind() + ": " + failure.detail()));
	}

	private void finish(AttemptFailure result) {
		close();
		this.owner.onResult(this, result);
	}

	private void close() {
		this.ended = true;
		readPrompt();
		this.upstream.onEnd();
		if (this.silence != null) {
			this.silence.cancel(false);
		}
	}

	/** Gives the attempt up; the upstream sees its connection close. */
	void cancel() {
		if (!this.ended) {
			close();
			if (this.call != null) {
				this.call.cancel();
			}
		}
	}

	void pause(boolean paused) {
		if (this.call != null && !this.ended) {
			this.call.pause(paused);
		}
	}

	UpstreamState upstream() {
		return this.upstream;
	}

	// How this attempt was cut off, where it was.
	InterruptedRequest cut() {
		long answeringMs = (this.answeredFromMs > 0) ? this.serving.loop().nowMs() - this.answeredFromMs
				: InterruptedRequest.NOT_ANSWERED;
		return new InterruptedRequest(this.plan.asSuspect(this.startedMs), answeringMs);
	}

	long ageMs() {
		return this.serving.loop().nowMs() - this.startedMs;
	}

	/** Hears of the attempt. */
	interface Listener {

		/**
		 * Take the head of a stream that begins or goes on.
		 * @param head the head
		 */
		void onStream(UpstreamReply head);

		/**
		 * Take a part of the stream.
		 * @param part its bytes
		 */
		void onPart(byte[] part);

		/**
		 * Take note that the stream has ended as complete.
		 * @param attempt the attempt
		 */
		void onStreamEnd(Attempt attempt);

		/**
		 * Take a whole answer that is no stream.
		 * @param attempt the attempt
		 * @param head its head
		 * @param body its body
		 */
		void onAnswer(Attempt attempt, UpstreamReply head, byte[] body);

		/**
		 * Take note that the attempt ended without an answer for the caller.
		 * @param attempt the attempt
		 * @param result how it ended
		 */
		void onResult(Attempt attempt, AttemptFailure result);

	}

}
