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
 * One attempt's call at one upstream: connects, notes in the ledger that the attempt
 * begins, and only then sends.
 * <p>
 * {@link #cancel()} may be called from any thread; the rest from one.
 *
 * @since 0.1
 */
final class UpstreamCall {

	private static final long CONNECT_TIMEOUT_MS = 1_000;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVER_ERROR = 5;

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
	 * Send the call and wait for the head of its answer.
	 * @param call the call, without the fields that every call has
	 * @param timeoutMs how long to wait for bytes
	 * @return the answer, of success and for this attempt, or why there is none
	 */
	Either<AttemptFailure, StreamedReply> open(HttpCall.Builder call, long timeoutMs) {
		long connectMs = Math.min(CONNECT_TIMEOUT_MS, Math.max(timeoutMs, 1));
		Either<HttpFailure, HttpConnection> leased = this.context.request().repeatable()
				? this.pool.lease(this.upstream.address(), connectMs)
				: HttpConnection.connect(this.upstream.address(), connectMs);
		if (leased.isLeft()) {
			return Either.left(AttemptFailure.notBegun(leased.getLeft().message()));
		}
		this.connection = Optional.of(leased.get());
		if (this.cancelled || !this.context.ledger().begin(this.number)) {
			this.pool.release(leased.get());
			return Either.left(AttemptFailure.notBegun("the attempt was given up before it began"));
		}
		Either<HttpFailure, StreamedReply> opened = leased.get().callStreaming(withFields(call).build(), timeoutMs);
		if (opened.isLeft()) {
			return Either.left(failure(opened.getLeft()));
		}
		return check(opened.get());
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

	private Either<AttemptFailure, StreamedReply> check(StreamedReply answer) {
		String answered = answer.field("X-Request-Id").orElse(attemptId());
		if (!answered.equals(attemptId())) {
			cancel();
			return Either.left(new AttemptFailure(AttemptState.ABANDONED, Reason.UPSTREAM_ERROR,
					"the answer is for " + answered, true));
		}
		if (answer.status() / 100 == 2) {
			return Either.right(answer);
		}
		cancel();
		boolean isLeaving = answer.field("X-Upstream-State").filter("leaving"::equals).isPresent();
		if (isLeaving) {
			return Either.left(AttemptFailure.refused(LEAVING));
		}
		String message = "status " + answer.status();
		if (answer.status() == TOO_MANY_REQUESTS) {
			return Either.left(AttemptFailure.refused(message));
		}
		boolean uncertain = answer.status() / 100 == SERVER_ERROR && !this.context.request().repeatable();
		return Either.left(uncertain ? AttemptFailure.lost(message) : AttemptFailure.error(message));
	}

	/** Message of the refusal of an upstream that is leaving. */
	static final String LEAVING = "the upstream is leaving";

	AttemptFailure failure(HttpFailure failure) {
		if (this.context.remainingMs() <= 0) {
			return AttemptFailure.ofDeadline();
		}
		return this.cancelled ? AttemptFailure.cancelled() : AttemptFailure.lost(failure.message());
	}

	/**
	 * Return whether the call was given up while it ran.
	 * @return true after {@link #cancel()}
	 */
	boolean cancelled() {
		return this.cancelled;
	}

	/**
	 * Give the connection back after an answer that was read to its end.
	 */
	void finish() {
		this.connection.ifPresent(this.pool::release);
	}

	/**
	 * Give the call up: cut its connection, which also tells the upstream to stop.
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
