package org.tallycart.node.metrics;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.tallycart.http.event.RequestHandler;
import org.tallycart.http.event.RequestLimits;
import org.tallycart.http.event.Responder;

/**
 * Serves metrics in the Prometheus text format.
 * <p>
 * Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class MetricsHandler implements RequestHandler {

	/** Path of the metrics. */
	public static final String PATH = "/metrics";

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	/** Limits for the short, periodic requests of collectors. */
	private static final RequestLimits LIMITS = new RequestLimits(8 * 1024, 0, 3_000, 60_000);

	private final CollectorRegistry collectors = new CollectorRegistry();

	private final NodeMetrics metrics;

	/**
	 * Create a handler.
	 * @param metrics the metrics to serve
	 */
	public MetricsHandler(NodeMetrics metrics) {
		this.metrics = metrics;
		this.collectors.register(new DropwizardExports(metrics.registry()));
	}

	@Override
	public void onRequest(HttpRequest head, byte[] body, Responder responder) {
		if (!PATH.equals(head.getPath())) {
			responder.send(new BasicHttpResponse(NOT_FOUND), new byte[0]);
			return;
		}
		HttpResponse response = new BasicHttpResponse(OK);
		response.addHeader("Content-Type", TextFormat.CONTENT_TYPE_004);
		responder.send(response, render().getBytes(StandardCharsets.UTF_8));
	}

	private String render() {
		StringWriter text = new StringWriter();
		try {
			TextFormat.write004(text, this.collectors.metricFamilySamples());
		}
		catch (IOException ex) {
			throw new UncheckedIOException("failed to render metrics to memory", ex);
		}
		return text.toString();
	}

	@Override
	public void onRefused(int status, String reason) {
		this.metrics.onConnectionRefused(status);
	}

	@Override
	public RequestLimits limits() {
		return LIMITS;
	}

}
