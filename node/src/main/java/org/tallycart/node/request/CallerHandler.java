package org.tallycart.node.request;

import java.util.Optional;

import io.vavr.control.Either;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.tallycart.core.crash.ContentFingerprints;
import org.tallycart.core.serving.CallerLimits;
import org.tallycart.core.serving.CallerRequest;
import org.tallycart.core.serving.RequestKind;
import org.tallycart.core.serving.Route;
import org.tallycart.core.serving.ServingConfig;
import org.tallycart.core.serving.Workspace;
import org.tallycart.http.event.ConnectionEnd;
import org.tallycart.http.event.RequestHandler;
import org.tallycart.http.event.RequestLimits;
import org.tallycart.http.event.Responder;
import org.tallycart.node.store.ActiveConfig;
import org.tallycart.platform.http.CallerCodec;
import org.tallycart.runtime.event.EventCode;

/**
 * Handles callers' requests: decodes them, looks up their route and workspace in the
 * active configuration, and starts or declines them.
 * <p>
 * Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class CallerHandler implements RequestHandler {

	/** Retry-After value while there is no active configuration, in milliseconds. */
	private static final long UNCONFIGURED_RETRY_AFTER_MS = 500;

	private final ServingContext context;

	private final ActiveConfig config;

	/**
	 * Create a handler.
	 * @param context the dependencies of all requests
	 * @param config the active configuration
	 */
	public CallerHandler(ServingContext context, ActiveConfig config) {
		this.context = context;
		this.config = config;
	}

	@Override
	public void onRequest(HttpRequest head, byte[] body, Responder responder) {
		long now = this.context.loop().nowMs();
		Either<String, CallerRequest> request = CallerCodec.decode(head, body);
		if (request.isLeft()) {
			decline(responder, "", CallerResponses.withStatus(CallerResponses.MALFORMED), request.getLeft());
			return;
		}
		Optional<ServingConfig> current = this.config.current();
		if (current.isEmpty()) {
			decline(responder, request.get().id(), CallerResponses.notRun(UNCONFIGURED_RETRY_AFTER_MS),
					"no active configuration");
			return;
		}
		route(current.get(), request.get(), responder, now);
	}

	private void route(ServingConfig current, CallerRequest request, Responder responder, long now) {
		Optional<Route> route = current.route(request.host(), request.path());
		if (route.isEmpty()) {
			decline(responder, request.id(), CallerResponses.withStatus(CallerResponses.NO_ROUTE),
					"no matching route in configuration version " + current.version());
			return;
		}
		Optional<Workspace> workspace = request.key().flatMap(current::workspace);
		if (current.needsKey(route.get()) && workspace.isEmpty()) {
			decline(responder, request.id(), CallerResponses.withStatus(CallerResponses.UNKNOWN_KEY),
					"no workspace has the key in configuration version " + current.version());
			return;
		}
		long waitMs = Math.min(request.waitMs().orElse(Long.MAX_VALUE), route.get().timeoutMs());
		String service = route.get().selectService(request.id().hashCode());
		RequestPlan plan = new RequestPlan(request, ContentFingerprints.of(request), route.get(), service,
				Optional.empty(), workspace, now, now + waitMs);
		this.context.log()
			.request(EventCode.REQUEST_ACCEPTED, request.id(), "route", route.get().name(), "version",
					current.version(), "service", service, "wait_ms", waitMs, "rank", plan.priority().sortKey(),
					"fingerprint", plan.content().request().shortText(), "parts",
					ContentFingerprints.shortText(plan.content().parts()), "resumes",
					request.resumedRequest().orElse("none"), "after_event", request.lastEventId().orElse("none"));
		if (request.resumesStream() && route.get().kind() == RequestKind.STREAMING) {
			new ResumedRequest(this.context, plan, responder).start();
		}
		else {
			new RequestFlow(this.context, plan, responder).start();
		}
	}

	private void decline(Responder responder, String id, HttpResponse head, String reason) {
		this.context.log().request(EventCode.REQUEST_DECLINED, id, "status", head.getCode(), "reason", reason);
		this.context.metrics().onRequestEnded("declined_" + head.getCode(), 0);
		responder.send(head, new byte[0]);
	}

	@Override
	public void onRefused(int status, String reason) {
		this.context.metrics().onConnectionRefused(status);
		this.context.log().event(EventCode.CONNECTION_REFUSED, "status", status, "reason", reason);
	}

	@Override
	public void onClosed(ConnectionEnd end) {
		this.context.metrics().onConnectionClosed(end);
	}

	@Override
	public RequestLimits limits() {
		return RequestLimits.of(this.config.current().map(ServingConfig::limits).orElse(CallerLimits.DEFAULTS));
	}

}
