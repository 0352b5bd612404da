package org.tallycart.load;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.tallycart.core.ini.Address;
import org.tallycart.core.replication.Digest;
import org.tallycart.http.HttpCall;
import org.tallycart.http.HttpConnection;
import org.tallycart.http.HttpFailure;
import org.tallycart.http.StreamedReply;

/**
 * Submits requests as a caller would and checks that each answer is whole and its own.
 * <p>
 * Thread-safe: each call makes its own connection.
 *
 * @since 0.1
 */
public final class CallerClient {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final long CONNECT_TIMEOUT_MS = 1_000;

	private static final long GRACE_MS = 500;

	private static final String EVENT_END = "event: end";

	private static final String DATA = "data:";

	private CallerClient() {
	}

	/**
	 * Submit a request and wait for the end of its answer.
	 * @param entry where to
	 * @param submission the request
	 * @return what came of it
	 */
	public static ReceivedResponse submit(Address entry, Submission submission) {
		long beganNs = System.nanoTime();
		Either<HttpFailure, HttpConnection> connection = HttpConnection.connect(entry, CONNECT_TIMEOUT_MS);
		if (connection.isLeft()) {
			return none(connection.getLeft(), beganNs);
		}
		try (HttpConnection open = connection.get()) {
			long patience = submission.deadlineMs() + GRACE_MS;
			Either<HttpFailure, StreamedReply> answer = open.callStreaming(call(submission), patience);
			if (answer.isLeft()) {
				return none(answer.getLeft(), beganNs);
			}
			boolean streamed = answer.get().field("Content-Type").orElse("").startsWith("text/event-stream");
			return streamed ? stream(answer.get(), submission, beganNs) : whole(answer.get(), submission, beganNs);
		}
	}

	private static HttpCall call(Submission submission) {
		byte[] body;
		try {
			body = JSON.writeValueAsBytes(JSON.createObjectNode()
				.put("input", submission.input())
				.put("max_tokens", submission.maxTokens())
				.put("stream", submission.stream()));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a tree of JSON can always be written", ex);
		}
		HttpCall.Builder call = HttpCall.post("/v1/pipelines/" + submission.pipeline(), body)
			.field("Tallycart-Workspace", submission.workspace())
			.field("Tallycart-Deadline-Ms", String.valueOf(submission.deadlineMs()));
		if (!submission.label().isEmpty()) {
			call.field("Tallycart-Label", submission.label());
		}
		if (!submission.idempotencyKey().isEmpty()) {
			call.field("Tallycart-Repeatable", "false")
				.field("Idempotency-Key", submission.idempotencyKey())
				.field("Tallycart-First-Submission", String.valueOf(submission.isFirstSubmission()));
		}
		return call.build();
	}

	private static ReceivedResponse none(HttpFailure failure, long beganNs) {
		return new ReceivedResponse(ReceivedResponse.NONE, failure.kind().name(), "", "", 0, -1, millisSince(beganNs),
				Map.of(), "");
	}

	private static long millisSince(long beganNs) {
		return (System.nanoTime() - beganNs) / 1_000_000;
	}

	private static ReceivedResponse whole(StreamedReply answer, Submission submission, long beganNs) {
		return answer.readFully()
			.fold((failure) -> none(failure, beganNs), (reply) -> read(reply.text()).map((node) -> {
				long millis = millisSince(beganNs);
				return answer(node, node.path("output").asText(), submission, millis, millis);
			}).orElseGet(() -> none(new HttpFailure(HttpFailure.Kind.BROKEN, true, "not JSON"), beganNs)));
	}

	private static ReceivedResponse stream(StreamedReply answer, Submission submission, long beganNs) {
		StringBuilder text = new StringBuilder();
		long firstMs = -1;
		boolean end = false;
		while (true) {
			Either<HttpFailure, Optional<String>> line = answer.nextLine(submission.deadlineMs() + GRACE_MS);
			if (line.isLeft()) {
				return none(line.getLeft(), beganNs);
			}
			if (line.get().isEmpty()) {
				return none(new HttpFailure(HttpFailure.Kind.BROKEN, true, "no end record"), beganNs);
			}
			String content = line.get().get();
			if (content.equals(EVENT_END)) {
				end = true;
			}
			else if (content.startsWith(DATA)) {
				Optional<JsonNode> node = read(content.substring(DATA.length()));
				if (end && node.isPresent()) {
					return answer(node.get(), text.toString(), submission, firstMs, millisSince(beganNs));
				}
				node.ifPresent((piece) -> text.append(piece.path("text").asText()));
				firstMs = (firstMs < 0) ? millisSince(beganNs) : firstMs;
			}
		}
	}

	private static Optional<JsonNode> read(String text) {
		try {
			return Optional.ofNullable(JSON.readTree(text));
		}
		catch (JsonProcessingException ex) {
			return Optional.empty();
		}
	}

	private static ReceivedResponse answer(JsonNode end, String output, Submission submission, long firstMs,
			long totalMs) {
		Map<String, Double> cost = new TreeMap<>();
		end.path("cost").properties().forEach((entry) -> cost.put(entry.getKey(), entry.getValue().asDouble()));
		String outcome = end.path("outcome").asText(ReceivedResponse.NONE);
		String violation = outcome.equals("COMPLETE") ? violation(end, output, submission) : "";
		return new ReceivedResponse(outcome, end.path("reason").asText(), output, end.path("request_id").asText(),
				end.path("retry_after_ms").asLong(), firstMs, totalMs, cost, violation);
	}

	private static String violation(JsonNode end, String output, Submission submission) {
		byte[] bytes = output.getBytes(StandardCharsets.UTF_8);
		if (end.path("length").asInt(-1) != bytes.length) {
			return "the end record tells " + end.path("length") + " bytes, " + bytes.length + " came";
		}
		if (!end.path("sha256").asText().equals(Digest.of(bytes))) {
			return "the digest differs";
		}
		String expected = expected(submission);
		return output.equals(expected) ? ""
				: "expected '" + abbreviate(expected) + "', got '" + abbreviate(output) + "'";
	}

	private static String expected(Submission submission) {
		if (!submission.idempotencyKey().isEmpty()) {
			return "done " + submission.marker();
		}
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < submission.maxTokens(); i++) {
			text.append(submission.marker()).append('-').append(i).append(' ');
		}
		return text.toString();
	}

	private static String abbreviate(String text) {
		int length = 60;
		return (text.length() <= length) ? text : text.substring(0, length) + "...";
	}

}
