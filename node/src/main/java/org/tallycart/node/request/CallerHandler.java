package org.tallycart.node.request;

import java.util.Optional;

import io.vavr.control.Either;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.tallycart.core.crash.Fingerprint;
import org.tallycart.core.serving.CallerLimits;
import org.tallycart.core.serving.CallerRequest;
import org.tallycart.core.serving.Route;
import org.tallycart.core.serving.ServingConfig;
import org.tallycart.core.serving.Workspace;
import org.tallycart.http.event.RequestHandler;
import org.tallycart.http.event.RequestLimits;
import org.tallycart.http.event.Responder;
import org.tallycart.node.store.ActiveConfig;
import org.tallycart.platform.http.CallerCodec;
import org.tallycart.runtime.event.EventCode;

/**
 * Takes callers' requests: decodes them, finds their route and workspace by the
 * configuration in force, and starts their course or declines them.
 * <p>
 * Not thread-safe: belongs to the event loop.
 *
 * @since 0.1
 */
public final class CallerHandler implements RequestHandler {

	/** When a caller may come again while no configuration is known, in milliseconds. */
	private static final long UNCONFIGURED_RETRY_MS = 500;

	private final ServingContext serving;

	private final ActiveConfig config;

	/**
	 * Create a handler.
	 * @param serving what all requests share
	 * @param config the configuration in force
	 */
	public CallerHandler(ServingContext serving, ActiveConfig config) {
		this.serving = serving;
		this.config = config;
	}

	@Override
	public void onRequest(HttpRequest head, byte[] body, Responder responder) {
		long now = this.serving.loop().nowMs();
		Either<String, CallerRequest> request = CallerCodec.decode(head, body);
		if (request.isLeft()) {
			decline(responder, "", CallerResponses.own(CallerResponses.MALFORMED), request.getLeft());
			return;
		}
		Optional<ServingConfig> current = this.config.current();
		if (current.isEmpty()) {
			decline(responder, request.get().id(), CallerResponses.notRun(UNCONFIGURED_RETRY_MS), "no configuration");
			return;
		}
		route(current.get(), request.get(), responder, now);
	}

	private void route(ServingConfig current, CallerRequest request, Responder responder, long now) {
		Optional<Route> route = current.route(request.host(), request.path());
		if (route.isEmpty()) {
			decline(responder, request.id(), CallerResponses.own(CallerResponses.NO_ROUTE),
					"no route in version " + current.version());
			return;
		}
		Optional<Workspace> workspace = request.key().flatMap(current::workspace);
		if (current.needsKey(route.get()) && workspace.isEmpty()) {
			decline(responder, request.id(), CallerResponses.own(CallerResponses.NO_KEY),
					"no workspace for the key in version " + current.version());
			return;
		}
		long waitMs = Math.min(request.waitMs().orElse(Long.MAX_VALUE), route.get().timeoutMs());
		String service = route.get().selectService(request.id().hashCode());
		RequestPlan plan = new RequestPlan(request, Fingerprint.of(request), route.get(), service, workspace, now,
				now + waitMs);
		this.serving.log()
			.request(EventCode.REQUEST_ACCEPTED, request.id(), "route", route.get().name(), "version",
					current.version(), "service", service, "wait_ms", waitMs, "rank", plan.rank().sortKey(),
					"fingerprint", plan.fingerprint().shortText());
		new RequestFlow(this.serving, plan, responder).start();
	}

	private void decline(Responder responder, String id, HttpResponse head, String reason) {
		this.serving.log().request(EventCode.REQUEST_DECLINED, id, "status", head.getCode(), "reason", reason);
		this.serving.metrics().onRequestEnded("declined_" + head.getCode(), 0);
		responder.send(head, new byte[0]);
	}

	@Override
	public void onRefused(int status, String reason) {
		this.serving.metrics().onConnectionRefused(status);
		this.serving.log().event(EventCode.CONNECTION_REFUSED, "status", status, "reason", reason);
	}

	@Override
	public RequestLimits limits() {
		return RequestLimits.of(this.config.current().map(ServingConfig::limits).orElse(CallerLimits.DEFAULTS));
	}

}
