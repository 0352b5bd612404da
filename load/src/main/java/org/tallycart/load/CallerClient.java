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
 * Caller that submits requests and verifies that each response is complete and belongs to
 * its request.
 * <p>
 * Thread-safe: each call opens its own connection.
 *
 * @since 0.1
 */
public final class CallerClient {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final long CONNECT_TIMEOUT_MS = 1_000;

	private static final long DEADLINE_GRACE_MS = 500;

	private static final String END_EVENT_LINE = "event: end";

	private static final String DATA_PREFIX = "data:";

	private CallerClient() {
	}

	/**
	 * Submit a request and wait for the end of its response.
	 * @param entry address of the entry
	 * @param submission the request
	 * @return the response; its outcome is {@link ReceivedResponse#NONE} if the
	 * connection failed
	 */
	public static ReceivedResponse submit(Address entry, Submission submission) {
		long startNs = System.nanoTime();
		Either<HttpFailure, HttpConnection> connection = HttpConnection.connect(entry, CONNECT_TIMEOUT_MS);
		if (connection.isLeft()) {
			return failed(connection.getLeft(), startNs);
		}
		try (HttpConnection open = connection.get()) {
			long timeoutMs = submission.deadlineMs() + DEADLINE_GRACE_MS;
			Either<HttpFailure, StreamedReply> reply = open.callStreaming(createCall(submission), timeoutMs);
			if (reply.isLeft()) {
				return failed(reply.getLeft(), startNs);
			}
			boolean streamed = reply.get().field("Content-Type").orElse("").startsWith("text/event-stream");
			return streamed ? readStream(reply.get(), submission, startNs)
					: readUnary(reply.get(), submission, startNs);
		}
	}

	private static HttpCall createCall(Submission submission) {
		byte[] body;
		try {
			body = JSON.writeValueAsBytes(JSON.createObjectNode()
				.put("input", submission.input())
				.put("max_tokens", submission.maxTokens())
				.put("stream", submission.stream()));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot serialize the request body", ex);
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

	private static ReceivedResponse failed(HttpFailure failure, long startNs) {
		return new ReceivedResponse(ReceivedResponse.NONE, failure.kind().name(), "", "", 0, -1, millisSince(startNs),
				Map.of(), "");
	}

	private static long millisSince(long startNs) {
		return (System.nanoTime() - startNs) / 1_000_000;
	}

	private static ReceivedResponse readUnary(StreamedReply reply, Submission submission, long startNs) {
		return reply.readFully()
			.fold((failure) -> failed(failure, startNs), (full) -> parseJson(full.text()).map((node) -> {
				long millis = millisSince(startNs);
				return toResponse(node, node.path("output").asText(), submission, millis, millis);
			})
				.orElseGet(() -> failed(new HttpFailure(HttpFailure.Kind.BROKEN, true, "response body is not JSON"),
						startNs)));
	}

	private static ReceivedResponse readStream(StreamedReply reply, Submission submission, long startNs) {
		StringBuilder text = new StringBuilder();
		long firstMs = -1;
		boolean endEvent = false;
		while (true) {
			Either<HttpFailure, Optional<String>> line = reply.nextLine(submission.deadlineMs() + DEADLINE_GRACE_MS);
			if (line.isLeft()) {
				return failed(line.getLeft(), startNs);
			}
			if (line.get().isEmpty()) {
				return failed(new HttpFailure(HttpFailure.Kind.BROKEN, true, "stream ended without an end record"),
						startNs);
			}
			String content = line.get().get();
			if (content.equals(END_EVENT_LINE)) {
				endEvent = true;
			}
			else if (content.startsWith(DATA_PREFIX)) {
				Optional<JsonNode> node = parseJson(content.substring(DATA_PREFIX.length()));
				if (endEvent && node.isPresent()) {
					return toResponse(node.get(), text.toString(), submission, firstMs, millisSince(startNs));
				}
				node.ifPresent((chunk) -> text.append(chunk.path("text").asText()));
				firstMs = (firstMs < 0) ? millisSince(startNs) : firstMs;
			}
		}
	}

	private static Optional<JsonNode> parseJson(String text) {
		try {
			return Optional.ofNullable(JSON.readTree(text));
		}
		catch (JsonProcessingException ex) {
			return Optional.empty();
		}
	}

	private static ReceivedResponse toResponse(JsonNode end, String output, Submission submission, long firstMs,
			long totalMs) {
		Map<String, Double> cost = new TreeMap<>();
		end.path("cost").properties().forEach((entry) -> cost.put(entry.getKey(), entry.getValue().asDouble()));
		String outcome = end.path("outcome").asText(ReceivedResponse.NONE);
		String violation = outcome.equals("COMPLETE") ? findViolation(end, output, submission) : "";
		return new ReceivedResponse(outcome, end.path("reason").asText(), output, end.path("request_id").asText(),
				end.path("retry_after_ms").asLong(), firstMs, totalMs, cost, violation);
	}

	private static String findViolation(JsonNode end, String output, Submission submission) {
		byte[] bytes = output.getBytes(StandardCharsets.UTF_8);
		if (end.path("length").asInt(-1) != bytes.length) {
			return "end record states " + end.path("length") + " bytes, " + bytes.length + " received";
		}
		if (!end.path("sha256").asText().equals(Digest.of(bytes))) {
			return "SHA-256 of the output differs from the end record";
		}
		String expected = expectedOutput(submission);
		return output.equals(expected) ? ""
				: "expected '" + abbreviate(expected) + "', got '" + abbreviate(output) + "'";
	}

	private static String expectedOutput(Submission submission) {
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
