package org.tallycart.http.event;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.vavr.control.Either;
import org.apache.hc.core5.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * Call that collects its full reply, with a timeout and a limit on the size of its body.
 * <p>
 * Invariant: the consumer receives exactly one outcome, unless the call is cancelled
 * first. Not thread-safe: confined to its event loop.
 *
 * @since 0.1
 */
public final class FullReplyCall implements ReplyListener, Call {

	private final Predicate<HttpResponse> replyCheck;

	private final Consumer<Either<CallFailure, FullReply>> consumer;

	private final HeldBuffer body;

	private @Nullable HttpResponse head;

	private @Nullable Call call;

	private @Nullable ScheduledFuture<?> timeout;

	private boolean ended;

	private FullReplyCall(ReceiveLimits limits, Predicate<HttpResponse> replyCheck,
			Consumer<Either<CallFailure, FullReply>> consumer) {
		this.replyCheck = replyCheck;
		this.consumer = consumer;
		this.body = new HeldBuffer(MessageLimit.REPLY_BYTES, limits.message().replyBytes(), limits.held(),
				this::onLimitExceeded);
	}

	/**
	 * Make a call.
	 * @param client makes the call
	 * @param loop the event loop of the client, which runs the timeout
	 * @param request the request
	 * @param timeoutMs the timeout for the full reply, in milliseconds
	 * @param consumer the consumer of the outcome, called on the event loop
	 * @return the call in progress
	 */
	public static Call start(HttpCaller client, ScheduledExecutorService loop, ClientRequest request, long timeoutMs,
			Consumer<Either<CallFailure, FullReply>> consumer) {
		FullReplyCall fullReplyCall = new FullReplyCall(client.receiveLimits(), request.replyCheck(), consumer);
		fullReplyCall.timeout = loop.schedule(fullReplyCall::onTimeout, timeoutMs, TimeUnit.MILLISECONDS);
		fullReplyCall.call = client.call(request, fullReplyCall);
		return fullReplyCall;
	}

	private void onTimeout() {
		if (!this.ended) {
			if (this.call != null) {
				this.call.cancel();
			}
			finish(Either.left(new CallFailure(CallFailure.Kind.TIMED_OUT, true, "no full reply within the timeout")));
		}
	}

	private void onLimitExceeded(LimitExceeded exceeded) {
		if (!this.ended) {
			if (this.call != null) {
				this.call.cancel();
			}
			finish(Either.left(CallFailure.of(exceeded)));
		}
	}

	@Override
	public boolean onHead(HttpResponse response) {
		if (!this.replyCheck.test(response)) {
			return false;
		}
		this.head = response;
		if (response.containsHeader("Content-Length")) {
			this.body.markLengthKnown();
		}
		return true;
	}

	@Override
	public void onBody(byte[] part) {
		this.body.append(part, 0, part.length);
	}

	@Override
	public void onEnd(ReplyEnd end) {
		if (this.head != null) {
			finish(Either.right(new FullReply(this.head, this.body.take(), end)));
		}
	}

	@Override
	public void onFailure(CallFailure failure) {
		finish(Either.left(failure));
	}

	private void finish(Either<CallFailure, FullReply> outcome) {
		if (this.ended) {
			return;
		}
		stop();
		this.consumer.accept(outcome);
	}

	private void stop() {
		this.ended = true;
		this.body.release();
		if (this.timeout != null) {
			this.timeout.cancel(false);
		}
	}

	@Override
	public void cancel() {
		if (!this.ended) {
			stop();
			if (this.call != null) {
				this.call.cancel();
			}
		}
	}

	@Override
	public void setPaused(boolean paused) {
		if (this.call != null) {
			this.call.setPaused(paused);
		}
	}

}
