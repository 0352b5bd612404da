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
 * A generation: tokens are passed on as they come; a stream that breaks is resumed at
 * another upstream from what was passed on, so that no token is repeated or skipped.
 * <p>
 * Invariant: COMPLETE only if some upstream ended its stream by itself. Not thread-safe:
 * one instance runs one generation, on the request's thread.
 *
 * @since 0.1
 */
final class GenerationStage {

	private static final String PATH = "/v1/completions";

	private static final String DATA = "data:";

	private static final String DONE = "[DONE]";

	private static final String ANSWER_MARK = "\nAnswer:";

	private static final long DRAIN_MS = 1_000;

	private final StageContext tools;

	private final RequestContext context;

	private final Service service;

	private final PipelineData data;

	private final TextSink sink;

	private final StringBuilder text = new StringBuilder();

	private final Set<String> tried = new HashSet<>();

	private int tokens;

	private int tokensOfAttempt;

	private long firstTokenMs = -1;

	GenerationStage(StageContext tools, RequestContext context, Service service, PipelineData data, TextSink sink) {
		this.tools = tools;
		this.context = context;
		this.service = service;
		this.data = data;
		this.sink = sink;
	}

	/**
	 * Run the generation.
	 * @return the data with the whole text, or how the request ends
	 */
	Either<RequestResult, PipelineData> run() {
		this.tools.budget().onFirstAttempt();
		RequestResult last = new RequestResult(Outcome.NOT_RUN, Reason.NO_UPSTREAM,
				"no upstream of " + this.service.id() + " can be used", StageRunner.COME_BACK_MS);
		for (int attempts = 1;; attempts++) {
			Optional<Upstream> upstream = this.tools.routing().choose(this.context, this.service, this.tried);
			if (upstream.isEmpty()) {
				return Either.left(last);
			}
			this.tried.add(upstream.get().id());
			Either<AttemptFailure, String> outcome = attempt(upstream.get());
			if (outcome.isRight()) {
				return Either.right(this.data.withOutput(this.text.toString()));
			}
			AttemptFailure failure = outcome.getLeft();
			last = new RequestResult(Outcome.NOT_RUN, failure.reason(), this.service.id() + ": " + failure.message(),
					StageRunner.COME_BACK_MS);
			boolean again = attempts < this.context.pipeline().maxAttempts() && mayRepeat(failure)
					&& this.tools.budget().tryAcquire();
			this.context.cost()
				.add(this.service, again ? CostMeter.Use.RETRIED : CostMeter.Use.ABANDONED, this.tokensOfAttempt);
			if (!again) {
				return Either.left(last);
			}
			if (this.tokens > 0) {
				this.tools.events()
					.emit(EventCode.STREAM_RESUMED, this.context.request().id(),
							this.service.id() + " after " + this.tokens + " tokens: " + failure.message());
			}
		}
	}

	private boolean mayRepeat(AttemptFailure failure) {
		boolean pointless = failure.reason() == Reason.DEADLINE || failure.reason() == Reason.CALLER_GONE;
		return !pointless && (this.context.request().repeatable() || failure.state() == AttemptState.REFUSED);
	}

	private Either<AttemptFailure, String> attempt(Upstream upstream) {
		int number = this.context.ledger().plan(this.service.id());
		String name = this.service.id() + "#" + number + " at " + upstream.id();
		this.tools.events().emit(EventCode.ATTEMPT_BEGAN, this.context.request().id(), name);
		UpstreamCall call = new UpstreamCall(this.context, this.service, upstream, number, this.tools.pool());
		this.tokensOfAttempt = 0;
		long beganMs = Clocks.SYSTEM.monotonicMs();
		Either<AttemptFailure, String> outcome = call.open(HttpCall.post(PATH, body()), patienceMs())
			.flatMap((stream) -> read(stream, call, beganMs));
		outcome = settle(outcome, call, Clocks.SYSTEM.monotonicMs() - beganMs);
		this.tools.events()
			.emit(EventCode.ATTEMPT_ENDED, this.context.request().id(),
					name + outcome.fold((failure) -> " " + failure.message(), (done) -> " ok"));
		return outcome;
	}

	private Either<AttemptFailure, String> settle(Either<AttemptFailure, String> outcome, UpstreamCall call,
			long millis) {
		if (outcome.isRight()) {
			call.finish();
			this.tools.routing().onSuccess(this.service, call.upstream(), Math.max(this.tokensOfAttempt, 1), millis);
			if (!this.context.ledger().accept(call.number())) {
				return Either.left(AttemptFailure.error("the answer came too late"));
			}
			this.context.cost().add(this.service, CostMeter.Use.USEFUL, this.tokensOfAttempt);
			return outcome;
		}
		AttemptFailure failure = outcome.getLeft();
		call.cancel();
		this.context.ledger().close(call.number(), failure.state());
		if (failure.message().equals(UpstreamCall.LEAVING)) {
			this.tools.routing().onDraining(call.upstream().id());
		}
		if (failure.slow()) {
			this.tools.routing().onTimeout(this.service, call.upstream(), Math.max(this.tokensOfAttempt, 1), millis);
			return outcome;
		}
		this.tools.routing().onFailure(call.upstream(), failure.blame(), failure.message());
		return outcome;
	}

	private byte[] body() {
		StringBuilder prompt = new StringBuilder();
		this.data.documents().forEach((document) -> prompt.append(document.text()).append('\n'));
		prompt.append(this.data.input()).append(ANSWER_MARK).append(this.text);
		return Json.bytes(Json.MAPPER.createObjectNode()
			.put("model", this.service.model())
			.put("prompt", prompt.toString())
			.put("max_tokens", this.data.maxTokens() - this.tokens)
			.put("stream", true));
	}

	private long patienceMs() {
		return Math.min(this.context.remainingMs(), this.tools.times().idleTimeoutMs(this.service));
	}

	private Either<AttemptFailure, String> read(StreamedReply stream, UpstreamCall call, long beganMs) {
		long firstMs = -1;
		while (true) {
			long patience = patienceMs();
			if (patience <= 0) {
				return Either.left(AttemptFailure.ofDeadline());
			}
			var line = stream.nextLine(patience);
			if (line.isLeft()) {
				return Either.left(call.failure(line.getLeft()));
			}
			if (line.get().isEmpty()) {
				return Either.left(AttemptFailure.lost("the stream ended without its end mark"));
			}
			String payload = payload(line.get().get());
			if (payload.equals(DONE)) {
				long millis = Clocks.SYSTEM.monotonicMs() - beganMs;
				this.tools.times().addTokens(this.service, millis - Math.max(firstMs, 0), this.tokensOfAttempt);
				return drain(stream, call);
			}
			if (!payload.isEmpty()) {
				Either<AttemptFailure, String> passed = pass(payload);
				if (passed.isLeft()) {
					return passed;
				}
				if (firstMs < 0) {
					firstMs = Clocks.SYSTEM.monotonicMs() - beganMs;
					this.tools.times().addCall(this.service, firstMs);
				}
				long streaming = Clocks.SYSTEM.monotonicMs() - beganMs - firstMs;
				if (this.tools.times()
					.isFasterElsewhere(this.service, this.tokensOfAttempt, streaming,
							this.data.maxTokens() - this.tokens, this.context.remainingMs())) {
					return Either.left(AttemptFailure.tooSlow());
				}
			}
		}
	}

	private Either<AttemptFailure, String> drain(StreamedReply stream, UpstreamCall call) {
		// The blank line after the end mark and the last chunk belong to the answer.
		while (true) {
			var line = stream.nextLine(DRAIN_MS);
			if (line.isLeft() || line.get().isEmpty()) {
				if (line.isLeft()) {
					call.cancel();
				}
				return Either.right(DONE);
			}
		}
	}

	private static String payload(String line) {
		return line.startsWith(DATA) ? line.substring(DATA.length()).strip() : "";
	}

	private Either<AttemptFailure, String> pass(String payload) {
		Either<String, JsonNode> chunk = Json.read(payload);
		if (chunk.isLeft()) {
			return Either.left(AttemptFailure.error(chunk.getLeft()));
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
		this.tokensOfAttempt++;
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
	 * Return how long after its arrival the request had its first token.
	 * @return milliseconds; -1 if it had none
	 */
	long firstTokenMs() {
		return this.firstTokenMs;
	}

}
