package org.tallycart.entry.caller;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.uuid.Generators;
import io.vavr.control.Either;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.tallycart.core.claim.IdempotencyKey;

/**
 * Parses and validates callers' requests; all problems of a request are reported
 * together.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class CallerRequestReader {

	static final String PATH_PREFIX = "/v1/pipelines/";

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int MAX_BODY_BYTES = 4 << 20;

	private static final int MAX_TOKENS = 32_768;

	private static final int DEFAULT_MAX_TOKENS = 64;

	private static final long MAX_DEADLINE_MS = 3_600_000;

	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

	private CallerRequestReader() {
	}

	/**
	 * Parse a request.
	 * @param request the HTTP request
	 * @return the validated request, or all problems found
	 * @throws IOException if the body cannot be read from the connection
	 */
	public static Either<List<String>, CallerRequest> read(ClassicHttpRequest request) throws IOException {
		List<String> problems = new ArrayList<>();
		String path = URI.create(request.getRequestUri()).getPath();
		String pipeline = path.startsWith(PATH_PREFIX) ? path.substring(PATH_PREFIX.length()) : "";
		String workspace = field(request, CallerFields.WORKSPACE);
		checkName("the pipeline in the path", pipeline, problems);
		checkName(CallerFields.WORKSPACE, workspace, problems);
		JsonNode body = body(request, problems);
		boolean repeatable = flag(request, CallerFields.REPEATABLE, true, problems);
		Optional<IdempotencyKey> key = key(request, repeatable, problems);
		long deadline = deadline(request, problems);
		int maxTokens = maxTokens(body, problems);
		String input = body.path("input").asText("");
		if (input.isEmpty()) {
			problems.add("the body lacks a text 'input'");
		}
		String id = field(request, CallerFields.REQUEST_ID);
		if (id.isEmpty()) {
			id = Generators.timeBasedEpochGenerator().generate().toString();
		}
		checkName(CallerFields.REQUEST_ID, id, problems);
		boolean firstSubmission = flag(request, CallerFields.FIRST_SUBMISSION, false, problems);
		if (!problems.isEmpty()) {
			return Either.left(problems);
		}
		return Either.right(new CallerRequest(id, workspace, pipeline, field(request, CallerFields.LABEL), deadline,
				repeatable, key, firstSubmission, body.path("stream").asBoolean(false), input, maxTokens));
	}

	private static void checkName(String what, String value, List<String> problems) {
		if (!NAME.matcher(value).matches()) {
			problems.add(what + " is missing or not a name of up to 128 letters, digits and . _ : -");
		}
	}

	private static JsonNode body(ClassicHttpRequest request, List<String> problems) throws IOException {
		if (request.getEntity() == null || !request.getMethod().equals("POST")) {
			problems.add("the request must be a POST with a body of JSON");
			return JSON.createObjectNode();
		}
		try {
			byte[] bytes = EntityUtils.toByteArray(request.getEntity(), MAX_BODY_BYTES);
			JsonNode node = JSON.readTree(bytes);
			if (node != null && node.isObject()) {
				return node;
			}
			problems.add("the body is not a JSON object");
		}
		catch (JsonProcessingException ex) {
			problems.add("the body is not JSON: " + ex.getOriginalMessage());
		}
		return JSON.createObjectNode();
	}

	private static Optional<IdempotencyKey> key(ClassicHttpRequest request, boolean repeatable, List<String> problems) {
		String text = field(request, CallerFields.KEY);
		if (text.isEmpty()) {
			if (!repeatable) {
				problems
					.add("a request that may not be repeated needs an " + CallerFields.KEY + ", a UUID of version 7");
			}
			return Optional.empty();
		}
		Either<String, IdempotencyKey> key = IdempotencyKey.parse(text);
		key.peekLeft((error) -> problems.add(CallerFields.KEY + " " + error));
		return key.toJavaOptional();
	}

	private static long deadline(ClassicHttpRequest request, List<String> problems) {
		String text = field(request, CallerFields.DEADLINE_MS);
		if (text.isEmpty()) {
			return 0;
		}
		try {
			long deadlineMs = Long.parseLong(text);
			if (deadlineMs >= 1 && deadlineMs <= MAX_DEADLINE_MS) {
				return deadlineMs;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below, together with numbers out of range.
		}
		problems.add(CallerFields.DEADLINE_MS + " is not a whole number from 1 to " + MAX_DEADLINE_MS);
		return 0;
	}

	private static int maxTokens(JsonNode body, List<String> problems) {
		JsonNode node = body.path("max_tokens");
		if (node.isMissingNode()) {
			return DEFAULT_MAX_TOKENS;
		}
		if (!node.isInt() || node.asInt() < 1 || node.asInt() > MAX_TOKENS) {
			problems.add("'max_tokens' is not a whole number from 1 to " + MAX_TOKENS);
		}
		return node.asInt();
	}

	private static boolean flag(ClassicHttpRequest request, String name, boolean fallback, List<String> problems) {
		String text = field(request, name);
		if (text.isEmpty()) {
			return fallback;
		}
		if (!text.equals("true") && !text.equals("false")) {
			problems.add(name + " is neither true nor false");
		}
		return text.equals("true");
	}

	private static String field(ClassicHttpRequest request, String name) {
		Header header = request.getFirstHeader(name);
		return (header != null) ? header.getValue().strip() : "";
	}

}
