package org.tallycart.entry.stage;

import java.io.IOException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.tallycart.core.declaration.Service;
import org.tallycart.core.declaration.Upstream;
import org.tallycart.core.outcome.AttemptState;
import org.tallycart.core.outcome.Outcome;
import org.tallycart.core.outcome.Reason;
import org.tallycart.core.outcome.RequestResult;
import org.tallycart.http.HttpCall;
import org.tallycart.http.StreamedReply;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.process.Clocks;

/**
 * Runs a generation: forwards tokens as they arrive; a stream that breaks is resumed at
 * another upstream after the text already forwarded, so that no token is repeated or
 * skipped.
 * <p>
 * Invariant: the result is COMPLETE only if an upstream sent the end mark of its stream.
 * Not thread-safe: one instance runs one generation, on the request's thread.
 *
 * @since 0.1
 */
final class GenerationStage {

	private static final String PATH = "/v1/completions";

	private static final String DATA_PREFIX = "data:";

	private static final String END_MARK = "[DONE]";

	private static final String ANSWER_PREFIX = "\nAnswer:";

	private static final long DRAIN_TIMEOUT_MS = 1_000;

	private final StageContext shared;

	private final RequestContext context;

	private final Service service;

	private final PipelineData data;

	private final TextSink sink;

	private final StringBuilder text = new StringBuilder();

	private final Set<String> tried = new HashSet<>();

	private int tokens;

	private int attemptTokens;

	private long firstTokenMs = -1;

	GenerationStage(StageContext shared, RequestContext context, Service service, PipelineData data, TextSink sink) {
		this.shared = shared;
		this.context = context;
		this.service = service;
		this.data = data;
		this.sink = sink;
	}

	/**
	 * Run the generation.
	 * @return the data with the whole text, or the result if the generation failed
	 */
	Either<RequestResult, PipelineData> run() {
		this.shared.retryBudget().onFirstAttempt();
		RequestResult lastResult = new RequestResult(Outcome.NOT_RUN, Reason.NO_UPSTREAM,
				"no upstream of " + this.service.id() + " can be used", StageRunner.RETRY_AFTER_MS);
		for (int attempts = 1;; attempts++) {
			Optional<Upstream> upstream = this.shared.router().choose(this.context, this.service, this.tried);
			if (upstream.isEmpty()) {
				return Either.left(lastResult);
			}
			this.tried.add(upstream.get().id());
			Either<AttemptFailure, String> outcome = attempt(upstream.get());
			if (outcome.isRight()) {
				return Either.right(this.data.withOutput(this.text.toString()));
			}
			AttemptFailure failure = outcome.getLeft();
			lastResult = new RequestResult(Outcome.NOT_RUN, failure.reason(),
					this.service.id() + ": " + failure.message(), StageRunner.RETRY_AFTER_MS);
			boolean retry = attempts < this.context.pipeline().maxAttempts() && isRetryable(failure)
					&& this.shared.retryBudget().tryAcquire();
			this.context.cost()
				.add(this.service, retry ? CostMeter.Use.RETRIED : CostMeter.Use.ABANDONED, this.attemptTokens);
			if (!retry) {
				return Either.left(lastResult);
			}
			if (this.tokens > 0) {
				this.shared.events()
					.emit(EventCode.STREAM_RESUMED, this.context.request().id(),
							this.service.id() + " after " + this.tokens + " tokens: " + failure.message());
			}
		}
	}

	private boolean isRetryable(AttemptFailure failure) {
		boolean pointless = failure.reason() == Reason.DEADLINE || failure.reason() == Reason.CALLER_GONE;
		return !pointless && (this.context.request().repeatable() || failure.state() == AttemptState.REFUSED);
	}

	private Either<AttemptFailure, String> attempt(Upstream upstream) {
		int number = this.context.attempts().plan(this.service.id());
		String name = this.service.id() + "#" + number + " at " + upstream.id();
		this.shared.events().emit(EventCode.ATTEMPT_BEGAN, this.context.request().id(), name);
		UpstreamCall call = new UpstreamCall(this.context, this.service, upstream, number, this.shared.pool());
		this.attemptTokens = 0;
		long startedMs = Clocks.SYSTEM.monotonicMs();
		Either<AttemptFailure, String> outcome = call.open(HttpCall.post(PATH, body()), idleTimeoutMs())
			.flatMap((stream) -> read(stream, call, startedMs));
		outcome = recordOutcome(outcome, call, Clocks.SYSTEM.monotonicMs() - startedMs);
		this.shared.events()
			.emit(EventCode.ATTEMPT_ENDED, this.context.request().id(),
					name + outcome.fold((failure) -> " " + failure.message(), (line) -> " ok"));
		return outcome;
	}

	private Either<AttemptFailure, String> recordOutcome(Either<AttemptFailure, String> outcome, UpstreamCall call,
			long millis) {
		if (outcome.isRight()) {
			call.releaseConnection();
			this.shared.router().onSuccess(this.service, call.upstream(), Math.max(this.attemptTokens, 1), millis);
			if (!this.context.attempts().accept(call.number())) {
				return Either.left(AttemptFailure.upstreamError("the answer came too late"));
			}
			this.context.cost().add(this.service, CostMeter.Use.USEFUL, this.attemptTokens);
			return outcome;
		}
		AttemptFailure failure = outcome.getLeft();
		call.cancel();
		this.context.attempts().close(call.number(), failure.state());
		if (failure.message().equals(UpstreamCall.DRAINING)) {
			this.shared.router().onDraining(call.upstream().id());
		}
		if (failure.isSlow()) {
			this.shared.router().onTimeout(this.service, call.upstream(), Math.max(this.attemptTokens, 1), millis);
			return outcome;
		}
		this.shared.router().onFailure(call.upstream(), failure.blame(), failure.message());
		return outcome;
	}

	private byte[] body() {
		StringBuilder prompt = new StringBuilder();
		this.data.documents().forEach((document) -> prompt.append(document.text()).append('\n'));
		prompt.append(this.data.input()).append(ANSWER_PREFIX).append(this.text);
		return Json.bytes(Json.MAPPER.createObjectNode()
			.put("model", this.service.model())
			.put("prompt", prompt.toString())
			.put("max_tokens", this.data.maxTokens() - this.tokens)
			.put("stream", true));
	}

	private long idleTimeoutMs() {
		return Math.min(this.context.remainingMs(), this.shared.latencies().idleTimeoutMs(this.service));
	}

	private Either<AttemptFailure, String> read(StreamedReply stream, UpstreamCall call, long startedMs) {
		long firstMs = -1;
		while (true) {
			long timeoutMs = idleTimeoutMs();
			if (timeoutMs <= 0) {
				return Either.left(AttemptFailure.deadlineExceeded());
			}
			var line = stream.nextLine(timeoutMs);
			if (line.isLeft()) {
				return Either.left(call.toAttemptFailure(line.getLeft()));
			}
			if (line.get().isEmpty()) {
				return Either.left(AttemptFailure.connectionLost("the stream ended without its end mark"));
			}
			String payload = payload(line.get().get());
			if (payload.equals(END_MARK)) {
				long millis = Clocks.SYSTEM.monotonicMs() - startedMs;
				this.shared.latencies().addTokens(this.service, millis - Math.max(firstMs, 0), this.attemptTokens);
				return readRemainder(stream, call);
			}
			if (!payload.isEmpty()) {
				Either<AttemptFailure, String> forwarded = forward(payload);
				if (forwarded.isLeft()) {
					return forwarded;
				}
				if (firstMs < 0) {
					firstMs = Clocks.SYSTEM.monotonicMs() - startedMs;
					this.shared.latencies().addCall(this.service, firstMs);
				}
				long streamingMs = Clocks.SYSTEM.monotonicMs() - startedMs - firstMs;
				if (this.shared.latencies()
					.isFasterElsewhere(this.service, this.attemptTokens, streamingMs,
							this.data.maxTokens() - this.tokens, this.context.remainingMs())) {
					return Either.left(AttemptFailure.tooSlow());
				}
			}
		}
	}

	private Either<AttemptFailure, String> readRemainder(StreamedReply stream, UpstreamCall call) {
		// The connection can be reused only after the last chunk has been read.
		while (true) {
			var line = stream.nextLine(DRAIN_TIMEOUT_MS);
			if (line.isLeft() || line.get().isEmpty()) {
				if (line.isLeft()) {
					call.cancel();
				}
				return Either.right(END_MARK);
			}
		}
	}

	private static String payload(String line) {
		return line.startsWith(DATA_PREFIX) ? line.substring(DATA_PREFIX.length()).strip() : "";
	}

	private Either<AttemptFailure, String> forward(String payload) {
		Either<String, JsonNode> chunk = Json.read(payload);
		if (chunk.isLeft()) {
			return Either.left(AttemptFailure.unreadable(chunk.getLeft()));
		}
		String piece = chunk.get().path("choices").path(0).path("text").asText("");
		if (piece.isEmpty()) {
			return Either.right("");
		}
		if (this.firstTokenMs < 0) {
			this.firstTokenMs = Clocks.SYSTEM.monotonicMs() - this.context.arrivedMs();
		}
		this.text.append(piece);
		this.tokens++;
		this.attemptTokens++;
		try {
			this.sink.onText(piece);
			return Either.right(piece);
		}
		catch (IOException ex) {
			return Either
				.left(new AttemptFailure(AttemptState.ABANDONED, Reason.CALLER_GONE, "the caller went away", false));
		}
	}

	/**
	 * Return the time from the arrival of the request to its first token.
	 * @return milliseconds; -1 if there was none
	 */
	long firstTokenMs() {
		return this.firstTokenMs;
	}

}
