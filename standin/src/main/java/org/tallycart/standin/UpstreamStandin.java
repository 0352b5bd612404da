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
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * What all upstream stand-ins do alike: slots, load report, faults, leaving.
 * <p>
 * Every question holds a marker such as {@code [#q17]}; answers are made from it, so that
 * who asked can tell whether an answer is its own. Thread-safe.
 *
 * @since 0.1
 */
abstract class UpstreamStandin implements HttpRequestHandler {

	static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private static final int ERROR = 500;

	private static final long LONGEST_WAIT_MS = 60_000;

	private static final double JITTER = 0.2;

	private static final Pattern MARKER = Pattern.compile("\\[#([A-Za-z0-9_-]+)]");

	private final UpstreamDefinition shape;

	private final UpstreamFaults faults;

	private final SlotScheduler gate;

	private final Random random;

	private final AtomicLong runs = new AtomicLong();

	private volatile long lastNewWorkMs;

	UpstreamStandin(UpstreamDefinition shape) {
		this.shape = shape;
		this.faults = new UpstreamFaults(shape.seed());
		this.gate = new SlotScheduler(shape.slots());
		this.random = new Random(shape.seed());
	}

	@Override
	public final void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
			throws IOException {
		switch (JsonHttp.path(request)) {
			case "/load" -> report(response);
			case "/admin/fault" -> {
				this.faults.set(JsonHttp.json(request));
				JsonHttp.answer(response, OK, "done");
			}
			case "/admin/runs" -> JsonHttp.answer(response, OK, runs());
			default -> work(request, response);
		}
	}

	private void report(ClassicHttpResponse response) throws IOException {
		SlotScheduler.LoadSample sample = this.gate.report(this.faults.reportLagMs());
		JsonHttp.answer(response, OK,
				JsonHttp.JSON.createObjectNode()
					.put("running", sample.running())
					.put("waiting", sample.waiting())
					.put("slots", this.shape.slots())
					.put("state", this.faults.isLeaving() ? "leaving" : "live"));
	}

	private void work(ClassicHttpRequest request, ClassicHttpResponse response) throws IOException {
		if (this.faults.isLeaving()) {
			response.setHeader("X-Upstream-State", "leaving");
			JsonHttp.answer(response, UNAVAILABLE, "leaving");
			return;
		}
		JsonNode body = JsonHttp.json(request);
		boolean first = JsonHttp.field(request, "X-Priority").startsWith("high");
		try {
			if (!this.gate.enter(first, LONGEST_WAIT_MS)) {
				JsonHttp.answer(response, UNAVAILABLE, "too long a queue");
				return;
			}
			boolean handedOn = false;
			try {
				handedOn = run(request, body, response);
			}
			finally {
				if (!handedOn) {
					this.gate.leave();
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("stopped", ex);
		}
	}

	private boolean run(ClassicHttpRequest request, JsonNode body, ClassicHttpResponse response)
			throws IOException, InterruptedException {
		if (this.faults.hangs()) {
			Thread.sleep(LONGEST_WAIT_MS);
		}
		this.runs.incrementAndGet();
		this.lastNewWorkMs = System.currentTimeMillis();
		String id = JsonHttp.field(request, "X-Request-Id");
		response.setHeader("X-Request-Id", this.faults.answersForAnother() ? "another-" + id : id);
		if (this.faults.fails()) {
			Thread.sleep(scaled(this.shape.baseMs()));
			JsonHttp.answer(response, ERROR, "a fault was set");
			return false;
		}
		return serve(request, body, response);
	}

	/**
	 * Serve a call that holds a slot.
	 * @param request the call
	 * @param body its body
	 * @param response the answer
	 * @return whether the slot is given back later, by {@link #release()}
	 * @throws IOException if the caller is gone
	 * @throws InterruptedException if the stand-in is stopped
	 */
	abstract boolean serve(ClassicHttpRequest request, JsonNode body, ClassicHttpResponse response)
			throws IOException, InterruptedException;

	JsonNode runs() {
		return JsonHttp.JSON.createObjectNode()
			.put("runs", this.runs.get())
			.put("last_new_work_ms", this.lastNewWorkMs);
	}

	final void release() {
		this.gate.leave();
	}

	final int running() {
		return this.gate.running();
	}

	final UpstreamDefinition shape() {
		return this.shape;
	}

	final UpstreamFaults faults() {
		return this.faults;
	}

	final long scaled(double millis) {
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
