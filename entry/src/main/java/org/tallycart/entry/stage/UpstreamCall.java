package org.tallycart.entry.stage;

import java.util.Optional;

import io.vavr.control.Either;
import org.tallycart.core.declaration.Service;
import org.tallycart.core.declaration.Upstream;
import org.tallycart.core.outcome.AttemptState;
import org.tallycart.core.outcome.Reason;
import org.tallycart.http.HttpCall;
import org.tallycart.http.HttpConnection;
import org.tallycart.http.HttpConnectionPool;
import org.tallycart.http.HttpFailure;
import org.tallycart.http.StreamedReply;

/**
 * Call of one attempt to one upstream: connects, records that the attempt begins, and
 * only then sends the request.
 * <p>
 * {@link #cancel()} may be called from any thread; all other methods from one thread.
 *
 * @since 0.1
 */
final class UpstreamCall {

	private static final long CONNECT_TIMEOUT_MS = 1_000;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVER_ERROR_CLASS = 5;

	private final RequestContext context;

	private final Service service;

	private final Upstream upstream;

	private final int number;

	private final HttpConnectionPool pool;

	private volatile boolean cancelled;

	private volatile Optional<HttpConnection> connection = Optional.empty();

	UpstreamCall(RequestContext context, Service service, Upstream upstream, int number, HttpConnectionPool pool) {
		this.context = context;
		this.service = service;
		this.upstream = upstream;
		this.number = number;
		this.pool = pool;
	}

	/**
	 * Send the call and wait for the head of its reply.
	 * @param call the call, without the header fields that every call has
	 * @param timeoutMs maximum wait for bytes, in milliseconds
	 * @return the reply, with a status of success and the id of this attempt, or the
	 * failure
	 */
	Either<AttemptFailure, StreamedReply> open(HttpCall.Builder call, long timeoutMs) {
		long connectMs = Math.min(CONNECT_TIMEOUT_MS, Math.max(timeoutMs, 1));
		Either<HttpFailure, HttpConnection> leased = this.context.request().repeatable()
				? this.pool.lease(this.upstream.address(), connectMs)
				: HttpConnection.connect(this.upstream.address(), connectMs);
		if (leased.isLeft()) {
			return Either.left(AttemptFailure.notStarted(leased.getLeft().message()));
		}
		this.connection = Optional.of(leased.get());
		if (this.cancelled || !this.context.attempts().begin(this.number)) {
			this.pool.release(leased.get());
			return Either.left(AttemptFailure.notStarted("the attempt was given up before it began"));
		}
		Either<HttpFailure, StreamedReply> opened = leased.get().callStreaming(withFields(call).build(), timeoutMs);
		if (opened.isLeft()) {
			return Either.left(toAttemptFailure(opened.getLeft()));
		}
		return checkReply(opened.get());
	}

	private HttpCall.Builder withFields(HttpCall.Builder call) {
		call.field("X-Request-Id", attemptId());
		call.field("X-Priority", (this.context.priority() > 0) ? "high" : "normal");
		this.context.request().key().ifPresent((key) -> call.field("Idempotency-Key", key.text()));
		return call;
	}

	private String attemptId() {
		return this.context.request().id() + "/" + this.service.id() + "/" + this.number;
	}

	private Either<AttemptFailure, StreamedReply> checkReply(StreamedReply reply) {
		String repliedId = reply.field("X-Request-Id").orElse(attemptId());
		if (!repliedId.equals(attemptId())) {
			cancel();
			return Either.left(new AttemptFailure(AttemptState.ABANDONED, Reason.UPSTREAM_ERROR,
					"the answer is for " + repliedId, true));
		}
		if (reply.status() / 100 == 2) {
			return Either.right(reply);
		}
		cancel();
		boolean draining = reply.field("X-Upstream-State").filter("leaving"::equals).isPresent();
		if (draining) {
			return Either.left(AttemptFailure.refused(DRAINING));
		}
		String message = "status " + reply.status();
		if (reply.status() == TOO_MANY_REQUESTS) {
			return Either.left(AttemptFailure.refused(message));
		}
		boolean uncertain = reply.status() / 100 == SERVER_ERROR_CLASS && !this.context.request().repeatable();
		return Either.left(uncertain ? AttemptFailure.connectionLost(message) : AttemptFailure.upstreamError(message));
	}

	/** Message of the failure when an upstream refuses because it is draining. */
	static final String DRAINING = "the upstream is leaving";

	AttemptFailure toAttemptFailure(HttpFailure failure) {
		if (this.context.remainingMs() <= 0) {
			return AttemptFailure.deadlineExceeded();
		}
		return this.cancelled ? AttemptFailure.cancelled() : AttemptFailure.connectionLost(failure.message());
	}

	/**
	 * Return whether the call was cancelled.
	 * @return true after {@link #cancel()}
	 */
	boolean isCancelled() {
		return this.cancelled;
	}

	/**
	 * Release the connection after the reply was read to its end.
	 */
	void releaseConnection() {
		this.connection.ifPresent(this.pool::release);
	}

	/**
	 * Cancel the call and close its connection, so that the upstream stops its work.
	 */
	void cancel() {
		this.cancelled = true;
		this.connection.ifPresent(HttpConnection::abort);
	}

	Upstream upstream() {
		return this.upstream;
	}

	int number() {
		return this.number;
	}

}
