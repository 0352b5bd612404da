package org.tallycart.standin;

import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * Base class of the upstream stand-ins: slots, load report, injected faults, draining.
 * <p>
 * Every prompt contains a marker such as {@code [#q17]}, and the reply is derived from
 * it, so a caller can detect a reply that belongs to another request. Thread-safe.
 *
 * @since 0.1
 */
abstract class UpstreamStandin implements HttpRequestHandler {

	static final int OK = 200;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int INTERNAL_ERROR = 500;

	private static final long MAX_WAIT_MS = 60_000;

	private static final double JITTER = 0.2;

	private static final Pattern MARKER = Pattern.compile("\\[#([A-Za-z0-9_-]+)]");

	private final UpstreamDefinition definition;

	private final UpstreamFaults faults;

	private final SlotScheduler scheduler;

	private final Random random;

	private final AtomicLong runs = new AtomicLong();

	private volatile long lastRunStartMs;

	UpstreamStandin(UpstreamDefinition definition) {
		this.definition = definition;
		this.faults = new UpstreamFaults(definition.seed());
		this.scheduler = new SlotScheduler(definition.slots());
		this.random = new Random(definition.seed());
	}

	@Override
	public final void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
			throws IOException {
		switch (JsonHttp.path(request)) {
			case "/load" -> sendLoadReport(response);
			case "/admin/fault" -> {
				this.faults.set(JsonHttp.readJson(request));
				JsonHttp.respond(response, OK, "done");
			}
			case "/admin/runs" -> JsonHttp.respond(response, OK, runs());
			default -> {
				admit(request, response);
				if (this.faults.sendsUnframed()) {
					context.setProtocolVersion(HttpVersion.HTTP_1_0);
					response.setEntity(new UnframedEntity(response.getEntity(), this.faults.breaksOffUnframed()));
				}
			}
		}
	}

	private void sendLoadReport(ClassicHttpResponse response) throws IOException {
		SlotScheduler.LoadSample sample = this.scheduler.loadBefore(this.faults.reportLagMs());
		JsonHttp.respond(response, OK,
				JsonHttp.JSON.createObjectNode()
					.put("running", sample.running())
					.put("waiting", sample.waiting())
					.put("slots", this.definition.slots())
					.put("state", this.faults.isDraining() ? "leaving" : "live"));
	}

	private void admit(ClassicHttpRequest request, ClassicHttpResponse response) throws IOException {
		if (this.faults.isDraining()) {
			response.setHeader("X-Upstream-State", "leaving");
			JsonHttp.respond(response, SERVICE_UNAVAILABLE, "leaving");
			return;
		}
		JsonNode body = JsonHttp.readJson(request);
		boolean highPriority = JsonHttp.header(request, "X-Priority").startsWith("high");
		try {
			if (!this.scheduler.acquire(highPriority, MAX_WAIT_MS)) {
				JsonHttp.respond(response, SERVICE_UNAVAILABLE, "too long a queue");
				return;
			}
			boolean releasedLater = false;
			try {
				releasedLater = run(request, body, response);
			}
			finally {
				if (!releasedLater) {
					this.scheduler.release();
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted while serving an upstream call", ex);
		}
	}

	private boolean run(ClassicHttpRequest request, JsonNode body, ClassicHttpResponse response)
			throws IOException, InterruptedException {
		if (this.faults.hangs()) {
			Thread.sleep(MAX_WAIT_MS);
		}
		this.runs.incrementAndGet();
		this.lastRunStartMs = System.currentTimeMillis();
		String id = JsonHttp.header(request, "X-Request-Id");
		response.setHeader("X-Request-Id", this.faults.sendsForeignRequestId() ? "another-" + id : id);
		if (this.faults.failsCall()) {
			Thread.sleep(scaledMs(this.definition.baseMs()));
			JsonHttp.respond(response, INTERNAL_ERROR, "a fault was set");
			return false;
		}
		return serve(request, body, response);
	}

	/**
	 * Serve a call that holds a slot.
	 * @param request the request
	 * @param body the request body
	 * @param response the reply to fill in
	 * @return true if the subclass releases the slot later, with {@link #release()}
	 * @throws IOException if the caller has disconnected
	 * @throws InterruptedException if the stand-in is stopped
	 */
	abstract boolean serve(ClassicHttpRequest request, JsonNode body, ClassicHttpResponse response)
			throws IOException, InterruptedException;

	JsonNode runs() {
		return JsonHttp.JSON.createObjectNode()
			.put("runs", this.runs.get())
			.put("last_new_work_ms", this.lastRunStartMs);
	}

	final void release() {
		this.scheduler.release();
	}

	final int running() {
		return this.scheduler.running();
	}

	final UpstreamDefinition definition() {
		return this.definition;
	}

	final UpstreamFaults faults() {
		return this.faults;
	}

	final long scaledMs(double millis) {
		double jitter;
		synchronized (this.random) {
			jitter = 1 - JITTER + 2 * JITTER * this.random.nextDouble();
		}
		return Math.round(millis * jitter * this.faults.slowFactor());
	}

	static String marker(String text) {
		Set<String> found = new LinkedHashSet<>();
		Matcher matcher = MARKER.matcher(text);
		while (matcher.find()) {
			found.add(matcher.group(1));
		}
		return (found.size() == 1) ? found.iterator().next() : "MIXED" + found.size();
	}

}
