package org.tallycart.node.request;

import java.util.Locale;

import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.tallycart.core.serving.HeaderField;
import org.tallycart.core.serving.UpstreamReply;

/**
 * Heads of answers to callers.
 * <p>
 * Thread-safe: holds no state.
 */
final class CallerResponses {

	/** The request has not run and will not; the caller may come again. */
	static final int NOT_RUN = 503;

	/** The request may have run; its answer is lost. */
	static final int ANSWER_LOST = 502;

	/** The request may have run; its time is over. */
	static final int TIME_OVER = 504;

	static final int MALFORMED = 400;

	static final int NO_KEY = 401;

	static final int NO_ROUTE = 404;

	private static final double SECOND_MS = 1_000;

	private CallerResponses() {
	}

	static HttpResponse passed(UpstreamReply reply) {
		HttpResponse head = new BasicHttpResponse(reply.status());
		for (HeaderField field : reply.fields()) {
			head.addHeader(field.name(), field.value());
		}
		return head;
	}

	static HttpResponse own(int status) {
		return new BasicHttpResponse(status);
	}

	static HttpResponse notRun(long retryAfterMs) {
		HttpResponse head = own(NOT_RUN);
		head.addHeader("Retry-After", String.format(Locale.ROOT, "%.2f", retryAfterMs / SECOND_MS));
		return head;
	}

}
