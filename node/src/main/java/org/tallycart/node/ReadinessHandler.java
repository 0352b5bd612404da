package org.tallycart.node;

import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.tallycart.core.serving.CallerLimits;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.http.event.RequestHandler;
import org.tallycart.http.event.RequestLimits;
import org.tallycart.http.event.Responder;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.store.ActiveConfig;
import org.tallycart.platform.http.CallerCodec;
import org.tallycart.runtime.event.EventCode;

/**
 * Reports to the platform whether the VM is ready for callers: from the time when it has
 * a configuration and the list of upstreams, until the process drains.
 * <p>
 * Not thread-safe: confined to the event loop.
 */
final class ReadinessHandler implements RequestHandler {

	private static final int READY = 200;

	private static final int NOT_READY = 503;

	private static final int NOT_FOUND = 404;

	private final ActiveConfig config;

	private final UpstreamDirectory directory;

	private final NodeLog log;

	private boolean draining;

	private boolean lastReady;

	ReadinessHandler(ActiveConfig config, UpstreamDirectory directory, NodeLog log) {
		this.config = config;
		this.directory = directory;
		this.log = log;
	}

	boolean checkReadiness() {
		boolean ready = !this.draining && this.config.current().isPresent() && this.directory.isLoaded();
		if (ready != this.lastReady) {
			this.lastReady = ready;
			this.log.event(EventCode.READINESS_CHANGED, "ready", ready, "draining", this.draining);
		}
		return ready;
	}

	void drain() {
		this.draining = true;
	}

	@Override
	public void onRequest(HttpRequest head, byte[] body, Responder responder) {
		int status = checkReadiness() ? READY : NOT_READY;
		boolean pathMatches = CallerCodec.READINESS_PATH.equals(head.getPath());
		responder.send(new BasicHttpResponse(pathMatches ? status : NOT_FOUND), new byte[0]);
	}

	@Override
	public void onRefused(int status, String reason) {
		this.log.event(EventCode.CONNECTION_REFUSED, "status", status, "reason", reason);
	}

	@Override
	public RequestLimits limits() {
		return RequestLimits.of(CallerLimits.DEFAULTS);
	}

}
