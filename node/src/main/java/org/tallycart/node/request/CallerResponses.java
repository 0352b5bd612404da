package org.tallycart.node.request;

import java.util.Locale;

import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.tallycart.core.serving.HeaderField;
import org.tallycart.core.serving.UpstreamReply;

/**
 * Factory of response heads for callers.
 * <p>
 * Thread-safe: holds no state.
 */
final class CallerResponses {

	/** The request has not run and will not run; the caller may retry it. */
	static final int NOT_RUN = 503;

	/** The request may have run, but its response is lost. */
	static final int RESPONSE_LOST = 502;

	/** The request may have run, but its deadline has passed. */
	static final int DEADLINE_EXCEEDED = 504;

	static final int MALFORMED = 400;

	static final int UNKNOWN_KEY = 401;

	static final int NO_ROUTE = 404;

	private static final double MS_PER_SECOND = 1_000;

	private CallerResponses() {
	}

	static HttpResponse forwarded(UpstreamReply reply) {
		HttpResponse head = new BasicHttpResponse(reply.status());
		for (HeaderField field : reply.fields()) {
			head.addHeader(field.name(), field.value());
		}
		return head;
	}

	static HttpResponse withStatus(int status) {
		return new BasicHttpResponse(status);
	}

	static HttpResponse notRun(long retryAfterMs) {
		HttpResponse head = withStatus(NOT_RUN);
		head.addHeader("Retry-After", String.format(Locale.ROOT, "%.2f", retryAfterMs / MS_PER_SECOND));
		return head;
	}

}
