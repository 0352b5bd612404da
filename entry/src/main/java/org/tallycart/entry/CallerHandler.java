package org.tallycart.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.tallycart.core.outcome.InvariantViolation;
import org.tallycart.core.outcome.Outcome;
import org.tallycart.core.outcome.Reason;
import org.tallycart.core.outcome.RequestResult;
import org.tallycart.entry.caller.CallerFields;
import org.tallycart.entry.caller.CallerRequest;
import org.tallycart.entry.caller.CallerRequestReader;
import org.tallycart.entry.caller.CallerResponse;
import org.tallycart.runtime.process.TaskFailureHandler;

/**
 * Handles callers' HTTP requests.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
final class CallerHandler implements HttpRequestHandler {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final int NOT_FOUND = 404;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVER_ERROR = 500;

	private static final int BAD_GATEWAY = 502;

	private static final int UNAVAILABLE = 503;

	private static final int GATEWAY_TIMEOUT = 504;

	private static final long MILLIS_PER_SECOND = 1_000;

	private final RequestRunner runner;

	private final TaskFailureHandler failureHandler;

	CallerHandler(RequestRunner runner, TaskFailureHandler failureHandler) {
		this.runner = runner;
		this.failureHandler = failureHandler;
	}

	@Override
	public void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
			throws IOException {
		try {
			Either<List<String>, CallerRequest> parsed = CallerRequestReader.read(request);
			if (parsed.isLeft()) {
				RequestResult result = RequestResult.of(Outcome.NOT_RUN, Reason.BAD_REQUEST,
						String.join("; ", parsed.getLeft()));
				writeResponse(response, new CallerResponse("", result, "", 0, -1, 0, Map.of()));
				return;
			}
			run(parsed.get(), response);
		}
		catch (InvariantViolation ex) {
			this.failureHandler.onError("request", ex);
		}
	}

	private void run(CallerRequest request, ClassicHttpResponse response) {
		RequestRunner.Run run = this.runner.begin(request);
		if (run.storedResponse().isPresent()) {
			writeStoredResponse(response, run.storedResponse().get());
			return;
		}
		if (request.stream() && run.willStream()) {
			response.setCode(OK);
			response.setHeader(CallerFields.REQUEST_ID, request.id());
			response.setEntity(new EntityTemplate(-1, ContentType.TEXT_EVENT_STREAM, null, (out) -> stream(run, out)));
			return;
		}
		writeResponse(response, run.finish((piece) -> {
			// The response contains the whole text.
		}));
	}

	private void stream(RequestRunner.Run run, OutputStream out) throws IOException {
		try {
			CallerResponse callerResponse = run.finish(
					(piece) -> writeEvent(out, "", JSON.writeValueAsBytes(JSON.createObjectNode().put("text", piece))));
			writeEvent(out, "event: end\n", callerResponse.toJson(false));
		}
		catch (InvariantViolation ex) {
			this.failureHandler.onError("request", ex);
		}
	}

	private static void writeEvent(OutputStream out, String head, byte[] data) throws IOException {
		out.write((head + "data: ").getBytes(StandardCharsets.UTF_8));
		out.write(data);
		out.write("\n\n".getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	private static void writeStoredResponse(ClassicHttpResponse response, byte[] json) {
		try {
			String outcome = JSON.readTree(json).path("outcome").asText();
			response.setCode(outcome.equals(Outcome.COMPLETE.name()) ? OK : SERVER_ERROR);
			response.setHeader(CallerFields.OUTCOME, outcome);
		}
		catch (IOException ex) {
			response.setCode(SERVER_ERROR);
			response.setHeader(CallerFields.OUTCOME, Outcome.UNKNOWN.name());
		}
		response.setEntity(new ByteArrayEntity(json, ContentType.APPLICATION_JSON));
	}

	private static void writeResponse(ClassicHttpResponse response, CallerResponse callerResponse) {
		RequestResult result = callerResponse.result();
		response.setCode(status(result));
		response.setHeader(CallerFields.REQUEST_ID, callerResponse.requestId());
		response.setHeader(CallerFields.OUTCOME, result.outcome().name());
		response.setHeader(CallerFields.REASON, result.reason().name());
		if (result.retryAfterMs() > 0) {
			response.setHeader(CallerFields.RETRY_AFTER_MS, String.valueOf(result.retryAfterMs()));
			response.setHeader("Retry-After",
					String.valueOf((result.retryAfterMs() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
		}
		response.setEntity(new ByteArrayEntity(callerResponse.toJson(true), ContentType.APPLICATION_JSON));
	}

	private static int status(RequestResult result) {
		return switch (result.outcome()) {
			case COMPLETE -> OK;
			case UNKNOWN -> SERVER_ERROR;
			case FAILED -> (result.reason() == Reason.DEADLINE) ? GATEWAY_TIMEOUT : BAD_GATEWAY;
			case NOT_RUN -> switch (result.reason()) {
				case BAD_REQUEST, BAD_KEY, KEY_EXPIRED, KEY_FROM_FUTURE, KEY_BEFORE_TAKEOVER -> BAD_REQUEST;
				case NOT_DECLARED -> NOT_FOUND;
				case WORKSPACE_LIMIT, SHED, QUEUE_FULL, POLICY_REFUSED -> TOO_MANY_REQUESTS;
				default -> UNAVAILABLE;
			};
		};
	}

}
